package main

// Names on the wire.
const (
	modelService = "huvo11a"
	plainService = "wuno96b"
	turnPath     = "/lohu930/4b"
	feePath      = "/puxa403/2f"
	tenantName   = "hule930"
)

// configuration is what the operator writes under op/config. The figures are those of
// the small installations.
const configuration = `{"version":7,"routes":[
{"name":"r-puxsr7i","host":"ficu95.example","path_prefix":"/lohu930/","kind":"streaming","timeout_ms":3000,"goal_ms":200,"priority":1,"service":"huvo11a","attempts":1,"keeps_history":true,"retention_s":60.0,"public":false,"sticky":true,"resumable":false,"gap_aim_ms":200},
{"name":"r-m3tq0vd","host":"ficu95.example","path_prefix":"/puxa403/","kind":"non_idempotent","timeout_ms":1500,"goal_ms":200,"priority":2,"service":"wuno96b","attempts":2,"public":false}],
"services":[{"name":"huvo11a","health_path":"/health","max_conns":160,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":45.0,"engine":{"slots":16,"kv_capacity":126706,"event_tokens":12,"models":[{"name":"m"}]}},
{"name":"wuno96b","health_path":"/health","max_conns":96,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"hule930","api_keys":["3fexd9dnn2ctnfzs989a"],"priority":1}]}`
