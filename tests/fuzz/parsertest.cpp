#include <random>
#include <sstream>

#include <catch2/catch.hpp>
#include <google/protobuf/descriptor.h>

#include "audit/audit.h"
#include "config/config.h"
#include "fescuetillerctl/command.h"
#include "fescuetillerd/controlsocket.h"
#include "standins/memorytablestore.h"
#include "wire/wire.h"

using namespace fescuetiller; // NOLINT(google-build-using-namespace)

namespace {

constexpr int kRounds = 3000;

/** Damages texts in ways that repeat with the seed. */
class Mutator
{
public:
  explicit Mutator(uint32_t aSeed)
    : random(aSeed)
  {
  }

  std::string Mutate(std::string aText)
  {
    size_t count = 1 + this->Below(4);
    for (size_t change = 0; change < count; ++change) {
      this->MutateOnce(aText);
    }
    return aText;
  }

  std::string Noise()
  {
    std::string noise(this->Below(64), '\0');
    for (char& character : noise) {
      character = this->Byte();
    }
    return noise;
  }

  size_t Below(size_t aBound)
  {
    return aBound == 0 ? 0 : this->random() % aBound;
  }

private:
  char Byte() { return static_cast<char>(this->random()); }

  void MutateOnce(std::string& aText)
  {
    size_t at = this->Below(aText.size() + 1);
    switch (this->Below(5)) {
      case 0:
        aText.insert(at, 1, this->Byte());
        return;
      case 1:
        aText.erase(at, 1 + this->Below(8));
        return;
      case 2:
        aText.insert(at, aText.substr(this->Below(aText.size()), 16));
        return;
      case 3:
        aText.insert(at, this->Noise());
        return;
      default:
        if (at < aText.size()) {
          aText[at] = this->Byte();
        }
    }
  }

  std::mt19937 random;
};

std::vector<const google::protobuf::Descriptor*>
AllMessages()
{
  std::vector<const google::protobuf::Descriptor*> messages;
  const google::protobuf::FileDescriptor* kFiles[] = {
    wire::MemberRecord::descriptor()->file(),
    wire::Announcement::descriptor()->file(),
    wire::Datagram::descriptor()->file(),
    wire::ForwardRequest::descriptor()->file(),
    wire::TransactRequest::descriptor()->file(),
    wire::StatusReport::descriptor()->file(),
  };
  for (const auto* file : kFiles) {
    for (int index = 0; index < file->message_type_count(); ++index) {
      messages.push_back(file->message_type(index));
    }
  }
  return messages;
}

std::unique_ptr<google::protobuf::Message>
NewMessage(const google::protobuf::Descriptor* aType)
{
  auto* factory = google::protobuf::MessageFactory::generated_factory();
  return std::unique_ptr<google::protobuf::Message>(
    factory->GetPrototype(aType)->New());
}

/** Sets every field that holds no message, so that there is much to damage. */
void
Fill(google::protobuf::Message& aMessage)
{
  using google::protobuf::FieldDescriptor;
  const auto* reflection = aMessage.GetReflection();
  const auto* type = aMessage.GetDescriptor();
  for (int index = 0; index < type->field_count(); ++index) {
    const auto* field = type->field(index);
    if (field->is_repeated()) {
      continue;
    }
    if (field->cpp_type() == FieldDescriptor::CPPTYPE_STRING) {
      reflection->SetString(&aMessage, field, "agenda");
    } else if (field->cpp_type() == FieldDescriptor::CPPTYPE_UINT64) {
      reflection->SetUInt64(&aMessage, field, UINT64_MAX);
    } else if (field->cpp_type() == FieldDescriptor::CPPTYPE_UINT32) {
      reflection->SetUInt32(&aMessage, field, 7);
    } else if (field->cpp_type() == FieldDescriptor::CPPTYPE_ENUM) {
      reflection->SetEnumValue(&aMessage, field, 1);
    }
  }
}

} // namespace

TEST_CASE("Damaged settings are refused with their place or are valid",
          "[fuzz]")
{
  const std::string kText = "[daemon]\nname = a\nzone = z\ncaller_port = 80\n"
                            "[platform]\naddress = 127.0.0.1:80\n"
                            "[lease]\nlease_ms = 900\n"
                            "[service agenda]\npartitions = 64\n";
  REQUIRE(ParseSettings(kText, "a.ini"));
  Mutator mutator(1);
  int refused = 0;
  for (int round = 0; round < kRounds; ++round) {
    auto settings = ParseSettings(mutator.Mutate(kText), "a.ini");
    if (!settings) {
      ++refused;
      CHECK(settings.error().code == ErrorCode::Invalid);
      CHECK(settings.error().peer.rfind("a.ini", 0) == 0);
      CHECK_FALSE(settings.error().message.empty());
      continue;
    }
    CHECK(IsName(settings->name));
    CHECK(settings->lease.renewInterval < settings->lease.lease);
    for (const auto& [service, count] : settings->partitions) {
      CHECK(IsName(service));
      CHECK(count > 0);
    }
  }
  CHECK(refused > kRounds / 2);
}

TEST_CASE("Damaged class files are refused with their place or are valid",
          "[fuzz]")
{
  const std::string kText = "[class agenda/lookup]\nlatency_ms = 100\n"
                            "percentile = 99\nshare = 0.99\n"
                            "idempotent = true\nrevision = 3\n";
  REQUIRE(ParseClassFile(kText, "a.ini"));
  Mutator mutator(2);
  int refused = 0;
  for (int round = 0; round < kRounds; ++round) {
    auto entries = ParseClassFile(mutator.Mutate(kText), "a.ini");
    if (!entries) {
      ++refused;
      CHECK(entries.error().peer.rfind("a.ini", 0) == 0);
      continue;
    }
    for (const auto& entry : *entries) {
      CHECK(Check(entry.target));
    }
  }
  CHECK(refused > kRounds / 2);
}

TEST_CASE("Damaged datagrams are dropped or understood", "[fuzz]")
{
  wire::Datagram datagram;
  datagram.mutable_renewal()->set_holder(1);
  datagram.mutable_renewal()->set_grantor(2);
  datagram.mutable_renewal()->set_sequence(3);
  std::string bytes = datagram.SerializeAsString();
  REQUIRE(ParseDatagram(bytes));
  Mutator mutator(3);
  int refused = 0;
  for (int round = 0; round < kRounds; ++round) {
    refused += ParseDatagram(mutator.Mutate(bytes)) ? 0 : 1;
    ParseDatagram(mutator.Noise());
  }
  CHECK(refused > 0);
}

TEST_CASE("Damaged JSON of every message is refused or read back the same",
          "[fuzz]")
{
  Mutator mutator(4);
  int refused = 0;
  for (const auto* type : AllMessages()) {
    CAPTURE(type->name());
    auto message = NewMessage(type);
    Fill(*message);
    std::string text = ToJson(*message);
    auto same = NewMessage(type);
    REQUIRE(FromJson(text, *same, "peer"));
    CHECK(same->SerializeAsString() == message->SerializeAsString());
    for (int round = 0; round < kRounds / 20; ++round) {
      auto read = NewMessage(type);
      auto parsed = FromJson(mutator.Mutate(text), *read, "peer");
      if (!parsed) {
        ++refused;
        CHECK(parsed.error().code == ErrorCode::Invalid);
        continue;
      }
      auto again = NewMessage(type);
      CHECK(FromJson(ToJson(*read), *again, "peer"));
    }
    auto read = NewMessage(type);
    CHECK_FALSE(FromJson(std::string(100000, '['), *read, "peer"));
  }
  CHECK(refused > 0);
}

TEST_CASE("Damaged rows of every table are passed over or understood", "[fuzz]")
{
  Member member;
  member.incarnation = 5;
  member.name = "agenda-1";
  Assignment assignment;
  assignment.partition = { "agenda", 3 };
  ClassTarget target;
  target.service = "agenda";
  target.name = "lookup";
  Drain drain;
  drain.name = "agenda-1";
  drain.drain = true;
  AuditEntry entry;
  entry.writeId = "w";
  AuditHead head;
  head.nextSequence = 7;
  const std::pair<Row, std::function<bool(const Row&)>> kParsers[] = {
    { ToRow(member),
      [](const Row& aRow) { return ParseMember(aRow).has_value(); } },
    { ToRow(assignment),
      [](const Row& aRow) { return ParseAssignment(aRow).has_value(); } },
    { ToRow(target),
      [](const Row& aRow) { return ParseClassTarget(aRow).has_value(); } },
    { ToRow(drain),
      [](const Row& aRow) { return ParseDrain(aRow).has_value(); } },
    { ToRow(entry),
      [](const Row& aRow) { return ParseAuditEntry(aRow).has_value(); } },
    { ToRow(head),
      [](const Row& aRow) { return ParseAuditHead(aRow).has_value(); } },
  };
  Mutator mutator(5);
  for (const auto& [row, parse] : kParsers) {
    CAPTURE(row.key.table);
    CHECK(parse(row));
    int refused = 0;
    for (int round = 0; round < kRounds; ++round) {
      Row damaged = row;
      damaged.value = mutator.Mutate(row.value);
      refused += parse(damaged) ? 0 : 1;
    }
    CHECK(refused > 0);
  }
}

TEST_CASE("Damaged arguments end in one of the documented exit codes", "[fuzz]")
{
  const std::vector<std::vector<std::string>> kLines = {
    { "class",
      "set",
      "agenda",
      "lookup",
      "--latency-ms",
      "100",
      "--share",
      "1" },
    { "class", "remove", "agenda", "lookup", "--revision", "1" },
    { "class", "list", "--json" },
    { "status", "--timeout-ms", "10" },
    { "key", "locate", "agenda", "k" },
    { "drain", "agenda-1", "--revision", "0" },
    { "audit", "--count", "5" },
    { "check", "settings", "/nonexistent" },
    { "metrics", "agenda-1" },
  };
  MemoryTableStore store;
  std::ostringstream out;
  std::ostringstream error;
  Time now;
  Session session{ out,
                   error,
                   [&](const std::string&, Duration) {
                     return std::make_unique<MemoryTableStore>();
                   },
                   [](const DaemonCall& aCall) -> Result<std::string> {
                     return "{" + aCall.path;
                   },
                   [] { return "w"; },
                   { [&] { return now; },
                     [&](Duration aPause) { now += aPause; },
                     [] { return int64_t(0); } },
                   "ana",
                   "desk",
                   "platform" };
  Mutator mutator(6);
  for (int round = 0; round < kRounds; ++round) {
    auto arguments = kLines[mutator.Below(kLines.size())];
    std::string& damaged = arguments[mutator.Below(arguments.size())];
    damaged = mutator.Mutate(damaged);
    int code = static_cast<int>(RunCommand(session, arguments));
    CHECK(code >= 0);
    CHECK(code <= 5);
  }
}
