package main

// draftConfig is a configuration with a route to model workers, which move and back up runs or not. The figures are those of the users' example.
func draftConfig(timeoutMs int, moves bool) fields {
	return fields{
		"version": 7, "limits": limits, "tenants": []fields{{"name": "tenant", "api_keys": []string{"key"}, "priority": 1}},
		"routes": []fields{{
			"name": "r-1", "host": "case.example", "path_prefix": "/draft/", "kind": "streaming", "timeout_ms": timeoutMs, wire("{target}"): 1500, "priority": 0, "service": "llm", "attempts": 1,
			"public": false, "sticky": true, "resumable": false, wire("{gap_target}"): 180,
		}},
		"services": []fields{{"name": "llm", "health_path": "/healthz", "max_conns": 242, "engine": fields{
			"slots": 24, "kv_tokens": 34280, "kv_bytes": 131072, "link_mbps": 19000, "moves": moves, "backups": moves,
			"stride": tokensPerEvent, "most": 12, "pin_ms": 4000, "hold_ms": 2000, "handle_s": 5.0, "models": []fields{{"name": "m"}},
		}}},
	}
}

// callConfig is a configuration with a route to a plain service.
func callConfig(prefix, kind string, timeoutMs int) fields {
	return fields{
		"version": 7, "limits": limits, "tenants": []fields{{"name": "tenant", "api_keys": []string{"key"}, "priority": 1}},
		"routes":   []fields{{"name": "r-1", "host": "case.example", "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMs, wire("{target}"): 1500, "priority": 1, "service": "app", "attempts": 1}},
		"services": []fields{{"name": "app", "health_path": "/healthz", "max_conns": 110}},
	}
}

// draftHeader describes the prompt of a generation.
var draftHeader = []string{"X-Model: m", wire("{counts}: 1460,600"), "X-Length-Hint: 600", wire("{prefix}: 5c1e07a2:800,91bd3f06:410,e4402b7d:250")}
