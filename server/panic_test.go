package server

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"monsoonspar.example/state/parser"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

func TestPanicOfAGoroutineEndsTheDaemon(t *testing.T) {
	const anyPort = "127.0.0.1:0"
	s, err := New(parser.Settings{
		Daemon: parser.DaemonSettings{
			Name: "d", Domain: "a", Region: "r", Listen: anyPort, PeerListen: anyPort, AdminListen: anyPort,
		},
		Platform: parser.PlatformSettings{Addr: "127.0.0.1:9", Deployment: "x", Timeout: time.Second},
		Peers:    parser.PeerSettings{SharedKey: "0123456789abcdef"},
	}, zerolog.Nop())
	assert.NilError(t, err)
	_, err = s.Start()
	assert.NilError(t, err)
	s.spawn(func() { panic("fault") })
	defer func() {
		assert.Assert(t, strings.Contains(fmt.Sprint(recover()), "fault"))
	}()
	_ = s.Run(context.Background())
}
