// The admin API: replaces and reads the configuration, begins and reads rollouts, and returns the status and
// the metrics page. docs/api/gateway.openapi.yaml specifies it; AdminServer serves it over HTTP.
#pragma once

#include "admin/rollout_requests.hpp"
#include "control_plane/admin_response.hpp"
#include "control_plane/replica_node.hpp"
#include "control_plane/status_report.hpp"

namespace lichenlanding::control_plane {

/// Runs on the event loop's thread.
class AdminApi {
  public:
    /// The required operations of the replicated register. update() and read() return null if no majority
    /// answers within `timeout` (nanoseconds); an update may or may not be in force then.
    struct Register {
        std::function<bool()> hasQuorumContact;
        std::function<Task<std::optional<std::string>>(std::string key, consensus::Change, Nanos timeout)>
            update;
        std::function<Task<std::optional<std::string>>(std::string key, Nanos timeout)> read;
        static Register of(ReplicaNode& replica);  ///< `replica` must outlive the result
    };

    /// `repeats` tells repeated requests for rollouts from new ones. `metrics` enables GET /metrics. All must
    /// outlive this object.
    AdminApi(Register registerAccess, admin::RepeatWindow repeats, std::function<StatusReport()> status,
             bool metrics)
        : register_(std::move(registerAccess)),
          repeats_(std::move(repeats)),
          status_(std::move(status)),
          metrics_(metrics) {}

    Task<AdminResponse> answer(const AdminRequest& request);

  private:
    struct Call {
        std::string name, service;
    };
    static Call decodeCall(std::string_view query);

    Task<AdminResponse> answerFromRegister(const Call& call, const std::string& body);
    Task<AdminResponse> replaceConfiguration(const std::string& body);
    Task<AdminResponse> readConfiguration();
    Task<AdminResponse> beginRollout(const std::string& body);
    Task<AdminResponse> readRollout(const std::string& service);
    AdminResponse metricsPage() const;

    Register register_;
    const admin::RepeatWindow repeats_;
    std::function<StatusReport()> status_;
    const bool metrics_;
};

}  // namespace lichenlanding::control_plane
