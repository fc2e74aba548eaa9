// Package monsoonspar is the root of the serving system's module; the programs
// are under cmd.
package monsoonspar

import (
	// These keep libraries in go.mod until the packages that use them land.
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/gofiber/fiber/v2"
	_ "github.com/rs/zerolog"
	_ "github.com/vmihailenco/msgpack/v5"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	_ "go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	_ "go.opentelemetry.io/otel/sdk/trace"
	_ "golang.org/x/sync/semaphore"
	_ "gonum.org/v1/gonum/stat"
	_ "gopkg.in/ini.v1"
	_ "gotest.tools/v3/golden"
	_ "pgregory.net/rapid"
)
