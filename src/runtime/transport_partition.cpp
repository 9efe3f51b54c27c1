#include "runtime/transport.h"

#include <fstream>
#include <mutex>
#include <shared_mutex>
#include <unordered_set>

namespace damaskwalk {

namespace {

class TransportPartition final : public Transport
{
public:
  TransportPartition(std::unique_ptr<Transport> aInner, std::string aFile)
    : inner_(std::move(aInner))
    , file_(std::move(aFile))
  {
    Refresh();
  }

  auto Send(const Endpoint& aTo, std::string_view aBytes) -> void override
  {
    if (MayReach(aTo)) {
      inner_->Send(aTo, aBytes);
    }
  }

  auto MayReach(const Endpoint& aPeer) const -> bool override
  {
    const std::shared_lock lock(mutex_);
    return !blocked_.contains(aPeer);
  }

  auto Refresh() -> void override
  {
    std::unordered_set<Endpoint, KeyHash> blocked;
    std::ifstream file(file_);
    for (std::string line; std::getline(file, line);) {
      if (const auto endpoint = ParseEndpoint(line)) {
        blocked.insert(*endpoint);
      }
    }
    const std::unique_lock lock(mutex_);
    blocked_ = std::move(blocked);
  }

private:
  std::unique_ptr<Transport> inner_;
  std::string file_;
  mutable std::shared_mutex mutex_;
  std::unordered_set<Endpoint, KeyHash> blocked_;
};

} // namespace

auto MakeTransportPartition(std::unique_ptr<Transport> aInner,
                            std::string aFile) -> std::unique_ptr<Transport>
{
  return std::make_unique<TransportPartition>(std::move(aInner),
                                              std::move(aFile));
}

} // namespace damaskwalk
