package main

// scenarios holds the cases by name.
var scenarios = map[string]scenario{}

// config returns a configuration. The calls go to the service calls.
func config(version int, calls string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "chat", "host": "h.example", "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 3000, "goal_ms": 200, "priority": 1, "service": "models", "attempts": 1, "keeps_history": true, "retention_s": 60.0, "resumable": false, "gap_aim_ms": 200},
			map[string]any{"name": "look", "host": "h.example", "path_prefix": "/look/", "kind": "idempotent", "timeout_ms": 1200, "goal_ms": 80, "priority": 2, "service": calls, "attempts": 2},
			map[string]any{"name": "charge", "host": "h.example", "path_prefix": "/charge/", "kind": "non_idempotent", "timeout_ms": 2000, "goal_ms": 250, "priority": 2, "service": calls, "attempts": 1},
		},
		"services": []any{
			map[string]any{"name": "models", "max_conns": 160, "engine": map[string]any{"slots": 16, "event_tokens": 12}},
			map[string]any{"name": "app-1", "max_conns": 96},
			map[string]any{"name": "app-2", "max_conns": 96},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "t1", "api_keys": []string{"key-1"}, "priority": 1}},
	}
}
