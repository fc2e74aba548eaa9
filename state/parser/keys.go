package parser

import (
	"fmt"
	"strings"
	"time"

	"monsoonspar.example/state/cataloger"
)

// Bounds of manifest values.
const (
	maxTimeout = 24 * time.Hour
	// MinClaimRetention is at least twice the longest time in which a claimed
	// request is sent and its outcome recorded.
	MinClaimRetention = 21 * time.Minute
	maxRetention      = 30 * 24 * time.Hour
	maxBodyBytes      = 8 << 20
	maxTokens         = 10_000_000
	maxMemoryTokens   = 1_000_000_000
	maxBatch          = 100_000
	maxWeight         = 1e6
	minWeight         = 1e-6
	maxCount          = 1_000_000
	maxTokenRate      = 1e9
	maxLevel          = 1000
)

// defaultManifest returns the default values of absent keys.
func defaultManifest() cataloger.Manifest {
	return cataloger.Manifest{
		Weights: cataloger.Weights{StallTime: 1, Preemptions: 1, TokenGap: 1},
		Defaults: cataloger.Defaults{
			Timeout:             time.Minute,
			MaxTimeout:          15 * time.Minute,
			MaxBodyBytes:        1 << 20,
			MaxTokens:           1024,
			ResumeGrace:         30 * time.Second,
			TokenTimeout:        3 * time.Second,
			TokenGapTarget:      73 * time.Millisecond,
			FirstTokenTarget:    1200 * time.Millisecond,
			ClaimRetention:      24 * time.Hour,
			MaxQueueWait:        5 * time.Minute,
			LongJobMemoryShare:  0.8,
			ModelLoadsPerMinute: 6,
		},
	}
}

// deploymentFields returns the keys of [deployment].
func deploymentFields(m *cataloger.Manifest) []field {
	return []field{
		require(text("name", &m.Deployment, checkName)),
		require(text("region", &m.Region, checkName)),
	}
}

// weightsFields returns the keys of [weights].
func weightsFields(v *cataloger.Weights) []field {
	return []field{
		number("stall_time", &v.StallTime, 0, maxWeight),
		number("preemptions", &v.Preemptions, 0, maxWeight),
		number("token_gap", &v.TokenGap, 0, maxWeight),
	}
}

// defaultsFields returns the keys of [defaults].
func defaultsFields(v *cataloger.Defaults) []field {
	return []field{
		duration("timeout", &v.Timeout, time.Millisecond, maxTimeout),
		duration("max_timeout", &v.MaxTimeout, time.Millisecond, maxTimeout),
		number("max_body_bytes", &v.MaxBodyBytes, 1, maxBodyBytes),
		number("max_tokens", &v.MaxTokens, 1, maxTokens),
		duration("resume_grace", &v.ResumeGrace, 0, time.Minute),
		duration("token_timeout", &v.TokenTimeout, 100*time.Millisecond, 10*time.Minute),
		duration("token_gap_target", &v.TokenGapTarget, time.Millisecond, time.Minute),
		duration("first_token_goal", &v.FirstTokenTarget, time.Millisecond, time.Hour),
		duration("claim_retention", &v.ClaimRetention, MinClaimRetention, maxRetention),
		duration("long_job_age_bound", &v.MaxQueueWait, time.Second, maxTimeout),
		number("long_share", &v.LongJobMemoryShare, 0.01, 1),
		number("loads_per_minute", &v.ModelLoadsPerMinute, 1, 10_000),
	}
}

// priorityFields returns the keys of [priority NAME].
func priorityFields(v *cataloger.Priority) []field {
	return []field{require(number("level", &v.Level, 0, maxLevel))}
}

// customerFields returns the keys of [customer NAME].
func customerFields(v *cataloger.Customer) []field {
	return []field{
		list("key_hashes", &v.KeyHashes, checkHash),
		require(text("priority", &v.Priority, checkName)),
		number("weight", &v.Weight, minWeight, maxWeight),
		number("max_queued", &v.MaxQueued, 0, maxCount),
		number("max_running", &v.MaxRunning, 0, maxCount),
		number("tokens_per_second", &v.TokensPerSecond, 0, maxTokenRate),
	}
}

// modelFields returns the keys of [model NAME].
func modelFields(v *cataloger.Model) []field {
	return []field{
		require(list("versions", &v.Versions, checkName)),
		list("adapters", &v.Adapters, checkName),
		require(number("max_tokens", &v.MaxTokens, 1, maxTokens)),
		require(number("context", &v.ContextTokens, 1, maxTokens)),
	}
}

// serviceFields returns the keys of [service NAME].
func serviceFields(v *cataloger.Service) []field {
	return []field{
		list("non_idempotent", &v.NonIdempotent, checkPath),
		duration("timeout", &v.Timeout, time.Millisecond, maxTimeout),
	}
}

// domainFields returns the keys of [domain NAME].
func domainFields(v *cataloger.Domain) []field {
	return []field{text("region", &v.Region, checkName)}
}

// endpointFields returns the keys of [endpoint NAME].
func endpointFields(v *cataloger.Endpoint) []field {
	return []field{
		require(choice("kind", &v.Kind, cataloger.KindEngine, cataloger.KindService)),
		require(text("domain", &v.Domain, checkName)),
		require(text("addr", &v.Addr, checkAddr)),
		text("service", &v.Service, checkName),
		placements("models", &v.Models),
		choice("role", &v.Role, cataloger.RoleMixed, cataloger.RolePrefill, cataloger.RoleDecode),
		number("memory_tokens", &v.MemoryTokens, 1, maxMemoryTokens),
		number("block_tokens", &v.BlockTokens, 1, 4096),
		number("max_batch", &v.MaxBatch, 1, maxBatch),
		boolean("checks_fence", &v.ChecksFence),
		boolean("draining", &v.Draining),
	}
}

// placements returns a field for a list of placements; see parsePlacement.
func placements(key string, dst *[]cataloger.Placement) field {
	return field{key: key, parse: func(v string) string {
		items, problem := split(v)
		if problem != "" {
			return problem
		}
		for _, item := range items {
			p, problem := parsePlacement(item)
			if problem != "" {
				return problem
			}
			*dst = append(*dst, p)
		}
		return ""
	}}
}

// parsePlacement parses a placement of the form model, model@version,
// model+adapter or model@version+adapter.
func parsePlacement(item string) (p cataloger.Placement, problem string) {
	rest, adapter, hasAdapter := strings.Cut(item, "+")
	model, version, hasVersion := strings.Cut(rest, "@")
	p = cataloger.Placement{Model: model, Version: version, Adapter: adapter}
	if problem := checkName(model); problem != "" {
		return p, problem
	}
	if hasVersion {
		if problem := checkName(version); problem != "" {
			return p, problem
		}
	}
	if hasAdapter {
		return p, checkName(adapter)
	}
	return p, ""
}

// checkPath accepts a path prefix.
func checkPath(v string) string {
	if !strings.HasPrefix(v, "/") || strings.ContainsAny(v, " \t?#") {
		return fmt.Sprintf("%q is not a path that starts with /", v)
	}
	return ""
}

// hashHexBytes is the length of a SHA-256 hash in hexadecimal.
const hashHexBytes = 64

// checkHash accepts a SHA-256 hash in lower-case hexadecimal. The problem does
// not contain the value.
func checkHash(v string) string {
	if len(v) != hashHexBytes || strings.Trim(v, "0123456789abcdef") != "" {
		return fmt.Sprintf("a key hash must have %d lower-case hexadecimal digits", hashHexBytes)
	}
	return ""
}
