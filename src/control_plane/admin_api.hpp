// The admin API: configurations and rollouts requested and read, `status`, and the page of metrics.
// docs/api/gateway.openapi.yaml describes it; AdminServer carries it over HTTP.
#pragma once

#include "control_plane/admin_response.hpp"
#include "control_plane/replica_node.hpp"
#include "control_plane/status_report.hpp"

namespace lichenlanding::control_plane {

/// Runs on the event loop's thread.
class AdminApi {
  public:
    /// What is needed of the replicated register. update() and read() end with null where no majority could
    /// be had in time (nanoseconds): then nothing is known either way.
    struct Register {
        std::function<bool()> hasQuorumContact;
        std::function<Task<std::optional<std::string>>(std::string key, consensus::Change, Nanos timeout)>
            update;
        std::function<Task<std::optional<std::string>>(std::string key, Nanos timeout)> read;
        static Register of(ReplicaNode& replica);  ///< which outlives it
    };

    /// `metrics`: GET /metrics is answered. All outlive this object.
    AdminApi(Register its, std::function<StatusReport()> status, bool metrics)
        : register_(std::move(its)), status_(std::move(status)), metrics_(metrics) {}

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
    std::function<StatusReport()> status_;
    const bool metrics_;
};

}  // namespace lichenlanding::control_plane
