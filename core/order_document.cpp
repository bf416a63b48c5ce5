#include "core/order_document.h"

#include "core/parse_name.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace bramleystall {

namespace {

Order
FromJson(const nlohmann::json& aJson)
{
  Order order;
  order.m_id = aJson.at("id");
  order.m_kind = ParseName(kOrderKindNames, aJson.at("kind"), "order");
  order.m_vm = aJson.value("vm", "");
  order.m_pool = aJson.value("pool", "");
  order.m_wave = aJson.value("wave", "");
  order.m_operator = aJson.value("operator", "");
  order.m_createdMillis = aJson.value("created_ms", std::int64_t{ 0 });
  order.m_state =
    ParseName(kOrderStateNames, aJson.value("state", "pending"), "order");
  order.m_detail = aJson.value("detail", "");
  return order;
}

nlohmann::json
ToJson(const Order& aOrder)
{
  return { { "id", aOrder.m_id },
           { "kind", NameOf(kOrderKindNames, aOrder.m_kind) },
           { "vm", aOrder.m_vm },
           { "pool", aOrder.m_pool },
           { "wave", aOrder.m_wave },
           { "operator", aOrder.m_operator },
           { "created_ms", aOrder.m_createdMillis },
           { "state", NameOf(kOrderStateNames, aOrder.m_state) },
           { "detail", aOrder.m_detail } };
}

template<typename Parse>
auto
ParseJson(const std::string& aJson, Parse aParse)
{
  try {
    return aParse(nlohmann::json::parse(aJson));
  } catch (const nlohmann::json::exception& error) {
    throw Error(ErrorCode::InvalidInput, absl::StrCat("order: ", error.what()));
  }
}

}

OrderDocument
OrderDocument::Parse(const std::string& aJson)
{
  return ParseJson(aJson, [](const nlohmann::json& aDocument) {
    OrderDocument document;
    document.m_revision = aDocument.at("revision");
    document.m_writerToken = aDocument.at("writer_token");
    for (const auto& order : aDocument.at("orders")) {
      document.m_orders.push_back(FromJson(order));
    }
    return document;
  });
}

std::string
OrderDocument::Serialize() const
{
  nlohmann::json orders = nlohmann::json::array();
  for (const Order& order : m_orders) {
    orders.push_back(ToJson(order));
  }
  const nlohmann::json document = { { "revision", m_revision },
                                    { "writer_token", m_writerToken },
                                    { "orders", std::move(orders) } };
  return document.dump();
}

Order
ParseOrder(const std::string& aJson)
{
  return ParseJson(aJson, FromJson);
}

std::string
SerializeOrder(const Order& aOrder)
{
  return ToJson(aOrder).dump();
}

}
