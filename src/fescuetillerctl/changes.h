#pragma once

#include "fescuetillerctl/cluster.h"

namespace fescuetiller {

/** One row that a command changes. */
struct PlannedRow
{
  Row row;
  RowVersion basedOn = 0; ///< 0: there is no row yet.
  std::string subject;
  std::string before;
  std::string after;
};

/** All that a command changes in one transaction. */
struct PlannedChange
{
  std::string action;
  std::string writeId;
  std::vector<PlannedRow> rows;
};

/** Writes the change with its audit entries. */
ChangeResult
MakeChange(Session& aSession,
           const CommonOptions& aOptions,
           TableStore& aStore,
           const PlannedChange& aChange);

/** Leaves an entry for a change that was refused, if the store answers. */
void
RecordRefusal(Session& aSession,
              const CommonOptions& aOptions,
              TableStore& aStore,
              const PlannedChange& aChange,
              const std::string& aWhy);

/** How the outcome is named in JSON, and the exit code that goes with it. */
std::pair<std::string, ExitCode>
NameOutcome(ChangeOutcome aOutcome);

/** Prints the report as JSON, or its message on one line. */
ExitCode
PrintChange(Session& aSession,
            const CommonOptions& aOptions,
            const wire::ChangeReport& aReport,
            ExitCode aCode);

} // namespace fescuetiller
