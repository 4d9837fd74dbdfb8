#include "reports/healthreport.h"

namespace fescuetiller {

wire::HealthReport
JudgeHealth(const HealthInputs& aInputs)
{
  wire::HealthReport report;
  if (aInputs.leaseLeft <= Duration(0)) {
    report.add_reasons("lease: not held");
  }
  if (!aInputs.backendAnnounced) {
    report.add_reasons("backend server: has not announced itself");
  } else if (!aInputs.backendHealthy) {
    report.add_reasons("backend server: does not answer or reports itself "
                       "unhealthy");
  }
  if (!aInputs.storeReachable) {
    report.add_degraded("table service: not reached; owners and targets "
                        "cannot be changed");
  }
  if (aInputs.drained) {
    report.add_degraded("drained by an operator");
  }
  report.set_healthy(report.reasons_size() == 0);
  return report;
}

std::string
ToText(const wire::HealthReport& aReport)
{
  std::string text = aReport.healthy() ? "ok\n" : "not serving\n";
  for (const auto& reason : aReport.reasons()) {
    text += "lost: " + reason + "\n";
  }
  for (const auto& degraded : aReport.degraded()) {
    text += "degraded: " + degraded + "\n";
  }
  return text;
}

} // namespace fescuetiller
