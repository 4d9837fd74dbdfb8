#pragma once

#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "standins/checkedrequest.h"
#include "standins/runlog.h"

namespace fescuetiller {

/**
 * Compares what clients got with what backend servers ran: an answered request
 * has run, one that was reported as not run has not, no booking runs twice, and
 * only requests run that were sent.
 */
class RequestAudit
{
public:
  /** @param aName Beginning of the ids of all clients' requests. */
  explicit RequestAudit(std::string aName);

  /** Adds the requests of a client. */
  void Add(const std::vector<CheckedRequest>& aRequests);

  /** Prints each wrong reply and a line of counts.
   * @param aLeastServed Share of the requests with a route that must be
   * answered.
   * @return Whether nothing was wrong. */
  bool Report(const std::vector<Run>& aRuns,
              double aLeastServed,
              std::ostream& aOutput);

private:
  void CountReplies(std::ostream& aOutput);
  void CompareWithRuns(const std::vector<Run>& aRuns, std::ostream& aOutput);
  void AddWrong(const std::string& aKind,
                const CheckedRequest& aRequest,
                std::ostream& aOutput);
  double ServedShare() const;

  std::string name;
  std::map<std::string, CheckedRequest> requests; ///< By id.
  std::map<Reply, int> replies;
  std::map<unsigned, int> failures;     ///< By status.
  std::map<std::string, int> refusals;  ///< By reason.
  std::map<std::string, int> brokenOff; ///< By reason.
  std::map<std::string, int> wrong;     ///< By kind.
  int withoutId = 0;                    ///< Answered without the id.
};

} // namespace fescuetiller
