#include "consul/consul_vm_list.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace bramleystall {

namespace {

constexpr int kStatusOk = 200;

std::string
TextField(const nlohmann::json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  return found != aObject.end() && found->is_string()
           ? found->get<std::string>()
           : std::string();
}

VmListing
ParseNode(const nlohmann::json& aNode)
{
  const auto metaField = aNode.find("Meta");
  const nlohmann::json meta = metaField != aNode.end() && metaField->is_object()
                                ? *metaField
                                : nlohmann::json::object();
  VmListing listing;
  listing.m_name = TextField(aNode, "Node");
  listing.m_address = TextField(meta, "address");
  if (listing.m_address.empty()) {
    listing.m_address =
      absl::StrCat(TextField(aNode, "Address"), ":", TextField(meta, "port"));
  }
  listing.m_dataCentre = TextField(meta, "data_centre");
  if (listing.m_dataCentre.empty()) {
    listing.m_dataCentre = TextField(aNode, "Datacenter");
  }
  listing.m_rack = TextField(meta, "rack");
  listing.m_pool = TextField(meta, "pool");
  listing.m_isLeaving = TextField(meta, "leaving") == "true";
  listing.m_isEntry = TextField(meta, "kind") == "entry";
  return listing;
}

}

ConsulVmList::ConsulVmList(const ConsulSettings& aSettings, Metrics* aMetrics)
  : m_client(aSettings, aMetrics)
{
}

std::vector<VmListing>
ConsulVmList::Read()
{
  const auto response = m_client.Read("vm_list", "/v1/catalog/nodes");
  if (response.m_status != kStatusOk) {
    m_client.CountError("vm_list", absl::StrCat("status_", response.m_status));
    throw Error(ErrorCode::Unavailable,
                absl::StrCat("store: VM list: status ", response.m_status));
  }
  const auto nodes = nlohmann::json::parse(response.m_body, nullptr, false);
  if (!nodes.is_array()) {
    m_client.CountError("vm_list", "malformed");
    throw Error(ErrorCode::Unavailable, "store: malformed VM list");
  }
  std::vector<VmListing> listings;
  for (const auto& node : nodes) {
    // Nodes of other users of the platform have no kind and are skipped.
    if (node.is_object() && node.contains("Meta") && node["Meta"].is_object() &&
        node["Meta"].contains("kind")) {
      listings.push_back(ParseNode(node));
    }
  }
  return listings;
}

}
