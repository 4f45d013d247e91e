# Computes the tables of docs/CAPACITY.md. Input: the JSON lines from `scripts/measure slopes`.

# Planned size of the system, and changes and failures per day, from section 1.4 of the design.
def nodes: 1300;
def services: 57;
def zones: 6;
def calls: 430000;
def changes_per_day: 1000;
def restarts_per_day: 68;
def failures_per_day: 4;
# Claims on idempotency keys per second, from section 3.4 of the design.
def claims: 1000;
# Assumptions for values that the design does not state.
def customers: 200;
def config_paths: 3000;
def external_calls_share: 0.25;

# Limits for the control traffic of one node: bytes per second, percent of a core, MiB of heap.
def budget_bytes: 16 * 1024;
def budget_core: 1.8;
def budget_mib: 32;

# Settings that the figures depend on: peers per gossip round, gossip rounds per second, seconds for
# which a link sends heartbeats after a message, and heartbeats per second.
def fanout: 3;
def gossips: 2;
def beat_seconds: 2.5;
def beats: 4;

def round_to($digits): . * pow(10; $digits) | round / pow(10; $digits);
def show: if . == null then "-" elif (. | fabs) >= 100 then round | tostring
          elif (. | fabs) >= 1 then round_to(2) | tostring
          else round_to(4) + 0 | tostring end;
def row: "| " + join(" | ") + " |";
def head: row, (map("---") | row);
def mean: add / length;
def at($series; $size):
  (.[$series] // [0] | mean) + (.[$series + "_slope"] // 0) * ($size - (.sizes | mean));
def positive: if . < 0 then 0 else . end;

(map({key: .against, value: .}) | from_entries) as $run
| $run.nodes as $by_nodes
| $run.links as $links
| ($by_nodes.sizes | last) as $largest
# Expected number of links that send heartbeats because of gossip. Both ends of a link choose peers
# at random, and a chosen link sends heartbeats for beat_seconds.
| (2 * fanout * gossips * beat_seconds) as $touches
| ((nodes - 1) * (1 - pow(1 - 1 / (nodes - 1); $touches))) as $gossip_links
| (($by_nodes.bytes_of_heartbeat | last) / ($by_nodes.messages_of_heartbeat | last)) as $beat_size
| ($gossip_links * beats * $beat_size) as $beat_bytes
| ($links.core_us_per_frame | last) as $frame_us
# Gossip in the steady state, taken from the smallest fleet: it already has all its links, while
# larger ones still exchange whole member tables. Without changes, a message has only the entry of
# its sender.
| ($by_nodes.bytes_of_gossip | min) as $gossip_bytes
| ($by_nodes | (.bytes_of_gossip | min) / (.messages_of_gossip | min)) as $entry_bytes
| ((nodes - 1) * (nodes - 1) * $entry_bytes) as $tables_bytes
| ($tables_bytes * (restarts_per_day + failures_per_day) / nodes / 86400 * 2) as $table_bytes
| ($by_nodes.bytes_of_config_news | max) as $news_bytes
| ($run.customers | (.bytes_of_lease_request // [0] | last) + (.bytes_of_lease_grant // [0] | last)
   | . * ($run.customers | 12)) as $lease_fleet_64
| (calls / nodes) as $calls_per_node
| ($calls_per_node * external_calls_share) as $entry_rate
| ($run.requests_per_second
   | ((.bytes_of_rate_request_slope // 0) + (.bytes_of_rate_grant_slope // 0)) * 12 | positive) as
    $rate_bytes_per_request
| ($run.claims_per_second
   | ((.bytes_of_dedup_claim_slope // 0) + (.bytes_of_dedup_verdict_slope // 0)
      + (.bytes_of_dedup_result_slope // 0)) * 12 | positive) as $claim_bytes_each
| ($run.claims_per_second
   | ((.messages_of_dedup_claim_slope // 0) + (.messages_of_dedup_verdict_slope // 0)
      + (.messages_of_dedup_result_slope // 0)) * 12 | positive) as $claim_messages_each
| ($entry_rate * $rate_bytes_per_request) as $rate_bytes
| (claims / nodes * $claim_bytes_each) as $claim_bytes
| ($lease_fleet_64 / nodes) as $lease_bytes
| ($gossip_bytes + $table_bytes + $beat_bytes + $news_bytes + $rate_bytes + $claim_bytes + $lease_bytes) as
    $sum_bytes
| ((budget_bytes - $sum_bytes) / (beats * $beat_size)) as $links_left
# Heap for the state of each member, configuration path and customer.
| ($run.config_paths.heap_kib_slope | positive) as $path_kib
| ($by_nodes.heap_kib_slope | positive) as $member_kib
| ($run.customers.heap_kib_slope | positive) as $customer_kib
| ($by_nodes | at("heap_kib"; nodes)) as $heap_nodes
| ($heap_nodes + $path_kib * (config_paths - 100) + $customer_kib * customers) as $heap_kib
| ($by_nodes | at("core_percent"; nodes)) as $core_nodes
| (($sum_bytes / $beat_size) * $frame_us / 1e6 * 100) as $core_frames
| ($run.requests_per_second
   | ((.messages_of_rate_request_slope // 0) + (.messages_of_rate_grant_slope // 0)) * 12
   | positive) as $rate_messages
| ($run.claims_per_second
   | (.bytes_of_dedup_verdict_slope // 0) * 12 | positive) as $verdict_bytes
| ($run.claims_per_second
   | (.messages_of_dedup_verdict_slope // 0) * 12 | positive) as $verdict_messages
| ($run.requests_per_second | (.bytes_of_rate_grant_slope // 0) * 12 | positive) as $grant_bytes
| ($run.requests_per_second | (.messages_of_rate_grant_slope // 0) * 12 | positive) as $grants
| (calls * external_calls_share / 64) as $shard_rate
| def core($messages): $messages * $frame_us / 1e6 * 100;
  def role($name; $messages; $bytes; $memory):
    [$name, ($messages | show), ($bytes | show), (core($messages) | show), $memory] | row;
  def verdict($met): if $met then "met" else "not met" end;

"@@slopes",
(["against", "sizes", "bytes/s", "slope", "messages/s", "core %", "slope", "heap KiB", "slope"]
 | head),
($run.nodes, $run.customers, $run.services, $run.config_paths, $run.requests_per_second,
 $run.claims_per_second
 | [.against, (.sizes | map(tostring) | join(", ")),
    (.bytes_per_second | last | show), (.bytes_per_second_slope | show),
    (.messages_per_second | last | show),
    (.core_percent | last | show), (.core_percent_slope | show),
    (.heap_kib // [null] | last | show), (.heap_kib_slope | show)] | row),

"@@outcomes",
(["traffic", "requests sent", "answered", "refused"] | head),
($run.requests_per_second, $run.claims_per_second
 | .against as $what | .outcomes[] | select(.sent > 0)
 | [$what, (.sent | tostring), (.ok // 0 | tostring),
    (to_entries | map(select(.key != "ok" and .key != "sent") | "\(.key) \(.value)")
     | join(", "))] | row),

"@@types",
(["message", "bytes/s at \($largest) nodes", "slope per node", "messages/s", "slope per node"]
 | head),
($by_nodes | [to_entries[] | select(.key | test("^bytes_of_.*(?<!_slope)$")) | .key
              | ltrimstr("bytes_of_")] as $types
 | $types[] as $type
 | [$type, (.["bytes_of_" + $type] | last | show), (.["bytes_of_" + $type + "_slope"] | show),
    (.["messages_of_" + $type] | last | show),
    (.["messages_of_" + $type + "_slope"] | show)] | row),

"@@assumptions",
(["quantity", "value", "source"] | head),
(["nodes, services, zones", "\(nodes), \(services), \(zones)", "section 1.4"] | row),
(["calls a second, per node", "\(calls), \($calls_per_node | show)", "section 1.4"] | row),
(["claims a second", "\(claims)", "section 3.4"] | row),
(["customers with a rate", "\(customers)", "assumed"] | row),
(["configuration paths", "\(config_paths)", "assumed"] | row),
(["share of calls that come from outside and take a token", "\(external_calls_share)", "assumed"]
 | row),

"@@budget",
(["mechanism", "bytes/s per node", "how"] | head),
(["gossip", ($gossip_bytes | show),
  "measured; \(fanout * gossips) messages a second with one entry of \($entry_bytes | show) bytes, for any size"]
 | row),
(["whole tables on new links, mean of a day", ($table_bytes | show),
  "computed: \(restarts_per_day + failures_per_day) restarted nodes a day, each table sent both ways"] | row),
(["heartbeats on links that gossip touches", ($beat_bytes | show),
  "\($gossip_links | show) links, \(beats) beats of \($beat_size | show) bytes; size measured, links computed"] | row),
(["configuration news", ($news_bytes | show), "largest mean over a fleet; does not depend on its size"]
 | row),
(["leases", ($lease_bytes | show),
  "64 shards with owners, measured with 64 customers, spread over \(nodes) nodes"] | row),
(["rate tokens", ($rate_bytes | show),
  "\($rate_bytes_per_request | show) bytes a request, \($entry_rate | show) requests/s; extrapolated from 20/s per node"] | row),
(["claims", ($claim_bytes | show),
  "\($claim_bytes_each | show) bytes and \($claim_messages_each | show) messages a claim; extrapolated"] | row),
(["sum", ($sum_bytes | show), "budget \(budget_bytes): \(verdict($sum_bytes <= budget_bytes))"]
 | row),
(["left for heartbeats on links that carry calls", (budget_bytes - $sum_bytes | show),
  "room for \([$links_left, 0] | max | floor) such links"] | row),

"@@node",
(["resource", "worked out", "budget", "verdict"] | head),
(["bytes/s sent, control, without links that carry calls", ($sum_bytes | show),
  "\(budget_bytes)", verdict($sum_bytes <= budget_bytes)] | row),
(["core %, messages of that size over TCP at \($frame_us | show) us to send and receive one", ($core_frames | show),
  "\(budget_core)", verdict($core_frames <= budget_core)] | row),
(["core %, linear in nodes as on the manual loop", ($core_nodes | show), "\(budget_core)",
  verdict($core_nodes <= budget_core)] | row),
(["heap MiB (\($member_kib | show) KiB a member, \($path_kib | show) KiB a path)",
  ($heap_kib / 1024 | show), "\(budget_mib)", verdict($heap_kib / 1024 <= budget_mib)] | row),

"@@fleet",
(["quantity", "figure", "how"] | head),
(["a change in force on all of \($largest) nodes, ms", ($by_nodes.change_ms | last | show),
  "measured; \($by_nodes.sizes | map(tostring) | join(", ")) nodes: \($by_nodes.change_ms | map(show) | join(", ")) ms"]
 | row),
(["hops of the news on \(nodes) nodes", ((nodes * 7 + 1 | log) / (8 | log) | ceil - 1 | show),
  "computed for a tree of fan-out 8; two readers in each zone start it"] | row),
(["changes at \(changes_per_day) a day, a second", (changes_per_day / 86400 | show), "computed"]
 | row),
(["appends a second: changes, joins and leaves, snapshots",
  ((changes_per_day + 2 * (restarts_per_day + failures_per_day) + 288) / 86400 | show),
  "computed; a snapshot at most every 5 min"] | row),
(["appends a second of an idle fleet of \($largest)",
  ($by_nodes.fleet_appends_per_second | last | show), "measured"] | row),
(["log reads a second, fleet of \($largest) in 3 zones",
  ($by_nodes.fleet_log_reads_per_second | last | show), "measured; two readers a zone, 4 reads/s each"]
 | row),
(["log reads a second, \(zones) zones", (zones * 2 * 4 | show), "computed"] | row),
(["members that a restarted node receives as whole tables, MB in all",
  ($tables_bytes / 1e6 | show),
  "computed: each of \(nodes - 1) links that come up carries the whole table, \($entry_bytes | show) bytes an entry"] | row)

,
"@@roles",
(["role", "messages/s sent", "bytes/s sent", "core %", "memory"] | head),
role("entry node: tokens and claims"; $entry_rate * $rate_messages / 2
     + claims / nodes * ($claim_messages_each - $verdict_messages);
     $rate_bytes * ($rate_bytes_per_request - $grant_bytes) / ([$rate_bytes_per_request, 1e-9] | max)
     + claims / nodes * ($claim_bytes_each - $verdict_bytes);
     "\($path_kib * config_paths / 1024 | show) MiB of configuration"),
role("node beside a target: control"; 0; 0; "at most 8 MiB of responses"),
role("owner of one rate shard"; $shard_rate * $grants; $shard_rate * $grant_bytes;
     "not measured for each borrower"),
role("dedup replica"; claims / nodes * $verdict_messages; claims / nodes * $verdict_bytes;
     "at most 4 MiB of answers; records not measured"),
role("witness"; $lease_bytes / 128; $lease_bytes; "not measured, 3 * 64 grants in the fleet"),
role("gossip member, with heartbeats"; fanout * gossips + $gossip_links * beats;
     $gossip_bytes + $beat_bytes; "\($member_kib * nodes / 1024 | show) MiB of members"),
role("log reader: news"; $by_nodes.messages_of_config_news | max; $news_bytes;
     "as entry node"),
role("log writer, operator"; 0; 0; "none")
