package spawner_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"monsoonspar.example/state/spawner"
)

func TestPanicIsLoggedSignalledAndRaisedAgain(t *testing.T) {
	var out bytes.Buffer
	s := spawner.New(zerolog.New(&out), "part")
	s.Go(func() {})
	s.Go(func() { panic("fault") })
	<-s.Failed()
	defer func() {
		assert.Assert(t, strings.Contains(fmt.Sprint(recover()), "fault"))
		assert.Assert(t, strings.Contains(out.String(), "part: goroutine panicked"))
	}()
	s.Wait()
}
