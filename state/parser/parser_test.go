package parser_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"monsoonspar.example/state/parser"
)

func ExampleParseManifest() {
	text := `[deployment]
name = demo
region = north

[priority normal]
level = 10

[customer alfa]
priority = urgent
weigth = 2
`
	_, err := parser.ParseManifest("demo.ini", []byte(text))
	fmt.Println(err)
	// Output:
	// demo.ini:9: customer alfa.priority: no section declares priority "urgent"
	// demo.ini:10: customer alfa.weigth: unknown key
}

// The golden files list every problem of the texts in testdata/bad.
func TestProblemsMatchGoldenFiles(t *testing.T) {
	files, err := filepath.Glob("testdata/bad/*.ini")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			assert.NilError(t, err)
			_, err = parser.Check(filepath.Base(file), text)
			assert.ErrorIs(t, err, parser.ErrInvalid)
			golden.Assert(t, err.Error()+"\n", strings.TrimPrefix(strings.TrimSuffix(file, ".ini")+".golden", "testdata/"))
		})
	}
}

const validSettings = `[daemon]
name = milano-a-1
domain = milano-a
region = padania
listen = 127.0.0.1:8080
peer_listen = 127.0.0.1:8081
admin_listen = 127.0.0.1:0

[platform]
addr = 127.0.0.1:9000
deployment = registro
timeout = 500ms

[peers]
shared_key = a sample key of the tests
seeds = 127.0.0.1:8082, 127.0.0.1:8083 # two
`

func TestParseSettings(t *testing.T) {
	kind, err := parser.Check("d.ini", []byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, kind, parser.KindSettings)
	s, err := parser.ParseSettings("d.ini", []byte(validSettings))
	assert.NilError(t, err)
	assert.DeepEqual(t, s, parser.Settings{
		Daemon: parser.DaemonSettings{
			Name: "milano-a-1", Domain: "milano-a", Region: "padania",
			Listen: "127.0.0.1:8080", PeerListen: "127.0.0.1:8081", AdminListen: "127.0.0.1:0",
		},
		Platform: parser.PlatformSettings{Addr: "127.0.0.1:9000", Deployment: "registro", Timeout: 500 * time.Millisecond},
		Peers: parser.PeerSettings{
			SharedKey: "a sample key of the tests",
			Seeds:     []string{"127.0.0.1:8082", "127.0.0.1:8083"},
		},
		Drain: parser.DrainSettings{BalancerLag: 5 * time.Second},
		Trace: parser.TraceSettings{Exporter: parser.TraceNone},
		Log:   parser.LogSettings{Level: "info"},
	})
}

func TestTextTooLarge(t *testing.T) {
	_, err := parser.ParseManifest("big.ini", make([]byte, parser.MaxBytes+1))
	assert.ErrorContains(t, err, "big.ini:1: the text has 8388609 bytes, more than 8388608")
}

func TestByteOrderMarkAndCarriageReturns(t *testing.T) {
	text := "\xef\xbb\xbf" + strings.ReplaceAll(validSettings, "\n", "\r\n")
	_, err := parser.ParseSettings("d.ini", []byte(text))
	assert.NilError(t, err)
}
