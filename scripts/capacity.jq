# Tables of docs/CAPACITY.md from the lines of a benchmark run.
# Usage: jq -rn --slurpfile b bench.jsonl --arg table NAME -f capacity.jq

def rows($name): $b | map(select(.name == $name));
def one($name): (rows($name) | .[0].value) // 0;
def at($name; $field; $size):
	(rows($name) | map(select(.[$field] == $size)) | .[0].value) // 0;
def fit($name; $field):
	rows($name) | map({x: .[$field], y: .value}) | . as $p
	| ($p | length) as $n
	| if $n < 2 then {a: 0, b: 0, n: $n} else
	  ($p | map(.x) | add / $n) as $mx
	| ($p | map(.y) | add / $n) as $my
	| ($p | map((.x - $mx) * (.y - $my)) | add) as $sxy
	| ($p | map((.x - $mx) * (.x - $mx)) | add) as $sxx
	| ($sxy / $sxx) as $s
	| {a: ($my - $s * $mx), b: $s, n: $n} end;
def r($d): . * $d | round / $d;
def num: if . >= 1000 then round elif . >= 10 then r(10) else r(1000) end
	| tostring;
def line($cells): "| " + ($cells | join(" | ")) + " |";
def table($head; $body):
	line($head), line($head | map("---")), ($body[] | line(.));

# Sizes of two years out.
def workers: 2500;
def cells: 19;
def cell_workers: 132;
def members: 133;
def cell_members: 7;
def jobs_a_day: 7500;
def changes_a_day: 2000;
def tasks: 51000;
def teams: 93;
def day_s: 86400;
def beat_s: 0.25;
def renew_s: 60;
def list_s: 0.5;
def tick_s: 0.05;

def size($kind): at("record.size"; "kind"; $kind);

# Records a second on the log, and bytes a second that each host reads.
def log_rows: [
	["intents and confirmations", changes_a_day / day_s * 2,
	 changes_a_day / day_s * (size("intent") + size("confirm"))],
	["jobs and their ends", jobs_a_day / day_s * 2,
	 jobs_a_day / day_s * (size("job") + size("job-end"))],
	["registrations", members / renew_s,
	 members / renew_s * size("join")],
	["claims of cells (every cell once an hour)", cells / 3600,
	 cells / 3600 * size("lead")]
];
def log_records: log_rows | map(.[1]) | add;
def log_bytes: log_rows | map(.[2]) | add;

def slopes: [
	["host.host_list", "workers", "us"],
	["host.worker_memory", "workers", "bytes"],
	["host.tick", "jobs", "us"],
	["host.job_memory", "jobs", "bytes"],
	["host.tick_members", "members", "us"],
	["host.member_memory", "members", "bytes"],
	["host.request", "customers", "us"],
	["worker_reply.decode", "tasks", "ns"],
	["worker_reply.size", "tasks", "bytes"]
] | map(. as $s | fit($s[0]; $s[1]) as $f
	| select($f.n > 1)
	| ["`" + $s[0] + "`", $s[1], ($f.n | tostring),
	   ($f.a | num), ($f.b | r(10000) | tostring), $s[2]]);

def log_table: log_rows
	| map([.[0], (.[1] | r(1000) | tostring), (.[2] | r(10) | tostring)])
	+ [["**all**", (log_records | r(1000) | tostring),
	    (log_bytes | r(10) | tostring)]];

# Control bytes a second of an entry host, both directions.
def beats: (cell_members - 1) * one("heartbeat.size") / beat_s * 2;
def list: at("host_list.size"; "policy"; "delta") / list_s;
def host_bytes: [
	["heartbeats in the cell",
	 "\(cell_members - 1) peers x \(one("heartbeat.size")) B x \(1 / beat_s)/s x 2",
	 beats],
	["list of hosts, deltas",
	 "\(at("host_list.size"; "policy"; "delta")) B x \(1 / list_s)/s", list],
	["log read", "table above", log_bytes]
];
def bytes_table: host_bytes
	| map([.[0], .[1], (.[2] | r(10) | tostring)])
	+ [["**all**", "limit 5,000", (host_bytes | map(.[2]) | add | r(10)
	    | tostring)]];

# Processor time of an entry host for control, microseconds a second.
def host_cpu: [
	["host list", "\(at("host.host_list"; "workers"; 2500) | num) us x \(1 / list_s)/s",
	 at("host.host_list"; "workers"; 2500) / list_s],
	["ticks", "\(at("host.tick_members"; "members"; 133) | num) us x \(1 / tick_s)/s",
	 at("host.tick_members"; "members"; 133) / tick_s],
	["records", "\(log_records | r(100)) a second x \(at("host.change"; "changes"; 2000) | num) us",
	 log_records * at("host.change"; "changes"; 2000)]
];
def cpu_table: host_cpu
	| map([.[0], .[1], (.[2] | num), (.[2] / 10000 | r(1000) | tostring)])
	+ [["**all**", "limit 1.1%", (host_cpu | map(.[2]) | add | num),
	    (host_cpu | map(.[2]) | add / 10000 | r(1000) | tostring)]];

def host_memory: [
	["process with nothing in it, measured as RSS", "loopback.rss",
	 one("loopback.rss") * 1024],
	["workers", "\(workers) x \(at("host.worker_memory"; "workers"; 2500) | num) B",
	 workers * at("host.worker_memory"; "workers"; 2500)],
	["members", "\(members) x \(at("host.member_memory"; "members"; 133) | num) B",
	 members * at("host.member_memory"; "members"; 133)],
	["jobs of a day, open and ended", "\(jobs_a_day) x \(at("host.job_memory"; "jobs"; 2500) | num) B",
	 jobs_a_day * at("host.job_memory"; "jobs"; 2500)],
	["changes kept for audit", "8192 x \(at("host.change_memory"; "changes"; 4000) | num) B",
	 8192 * at("host.change_memory"; "changes"; 4000)]
];
def memory_table: host_memory
	| map([.[0], .[1], (.[2] / 1048576 | r(100) | tostring)])
	+ [["**all**", "limit 256 MB",
	    (host_memory | map(.[2]) | add / 1048576 | r(100) | tostring)]];

if $table == "slopes" then
	table(["figure", "grows with", "sizes", "at nothing", "for each",
	       "unit"]; slopes)
elif $table == "log" then
	table(["records", "records/s", "bytes/s"]; log_table)
elif $table == "bytes" then
	table(["control traffic of an entry host", "arithmetic", "bytes/s"];
	      bytes_table)
elif $table == "cpu" then
	table(["control work of an entry host", "arithmetic", "us/s",
	       "% of a core"]; cpu_table)
elif $table == "memory" then
	table(["memory of an entry host", "arithmetic", "MB"]; memory_table)
else error("unknown table") end
