package generator

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// scanTokenTests holds tokens of the fixed form and of forms close to it.
var scanTokenTests = []struct {
	name    string
	data    string
	scanned bool // Whether scanToken accepts the data.
}{
	{"fixed form", `{"attempt_id":"a","index":7,"choices":[{"index":0,"text":" word","finish_reason":null}]}`, true},
	{"other attempt", `{"attempt_id":"b","index":0,"choices":[{"index":0,"text":"","finish_reason":null}]}`, true},
	{"not ASCII", `{"attempt_id":"a","index":12,"choices":[{"index":0,"text":"perché","finish_reason":null}]}`, true},
	{"escape", `{"attempt_id":"a","index":0,"choices":[{"index":0,"text":"a\n\u00e8","finish_reason":null}]}`, false},
	{"invalid UTF-8", "{\"attempt_id\":\"a\",\"index\":0,\"choices\":[{\"index\":0,\"text\":\"\xff\",\"finish_reason\":null}]}", false},
	{"control character", "{\"attempt_id\":\"a\",\"index\":0,\"choices\":[{\"index\":0,\"text\":\"\x01\",\"finish_reason\":null}]}", false},
	{"leading zero", `{"attempt_id":"a","index":07,"choices":[{"index":0,"text":"x","finish_reason":null}]}`, false},
	{"negative index", `{"attempt_id":"a","index":-1,"choices":[{"index":0,"text":"x","finish_reason":null}]}`, false},
	{"huge index", `{"attempt_id":"a","index":99999999999999999999,"choices":[{"index":0,"text":"x","finish_reason":null}]}`, false},
	{"fraction", `{"attempt_id":"a","index":1.5,"choices":[{"index":0,"text":"x","finish_reason":null}]}`, false},
	{"space", `{"attempt_id": "a","index":0,"choices":[{"index":0,"text":"x","finish_reason":null}]}`, false},
	{"finish reason", `{"attempt_id":"a","index":0,"choices":[{"index":0,"text":"x","finish_reason":"stop"}]}`, false},
	{"trailing data", `{"attempt_id":"a","index":0,"choices":[{"index":0,"text":"x","finish_reason":null}]}}`, false},
	{"two choices", `{"attempt_id":"a","index":0,"choices":[{"index":0,"text":"x","finish_reason":null},{"index":1,"text":"y","finish_reason":null}]}`, false},
	{"truncated", `{"attempt_id":"a","index":0,"choices":[{"index":0,"text":"x`, false},
	{"empty", ``, false},
}

func TestScanTokenAcceptsOnlyFixedForm(t *testing.T) {
	for _, tt := range scanTokenTests {
		t.Run(tt.name, func(t *testing.T) {
			_, ok := scanToken([]byte(tt.data), "a")
			assert.Equal(t, ok, tt.scanned)
			assertScanMatchesDecoder(t, tt.data)
		})
	}
}

// assertScanMatchesDecoder fails if scanToken accepts data that encoding/json
// rejects or decodes to another token.
func assertScanMatchesDecoder(t *testing.T, data string) {
	t.Helper()
	got, ok := scanToken([]byte(data), "a")
	if !ok {
		return
	}
	want, err := decodeToken([]byte(data))
	assert.NilError(t, err)
	assert.DeepEqual(t, Event{Token: got}, want)
}

// FuzzScanToken searches for data that scanToken and encoding/json decode
// differently.
func FuzzScanToken(f *testing.F) {
	for _, tt := range scanTokenTests {
		f.Add(tt.data)
	}
	f.Fuzz(assertScanMatchesDecoder)
}

// FuzzScanTokenParts varies only the values within the fixed form.
func FuzzScanTokenParts(f *testing.F) {
	f.Add("a", "0", " word")
	f.Add("b", "007", "è\u2028<&>")
	f.Fuzz(func(t *testing.T, id, index, text string) {
		const form = `{"attempt_id":"%s","index":%s,"choices":[{"index":0,"text":"%s","finish_reason":null}]}`
		assertScanMatchesDecoder(t, fmt.Sprintf(form, id, index, text))
	})
}

func BenchmarkDecode(b *testing.B) {
	forms := map[string]string{
		"scanned": scanTokenTests[0].data,
		"json":    strings.Replace(scanTokenTests[0].data, ":", ": ", 1),
	}
	for name, form := range forms {
		b.Run(name, func(b *testing.B) {
			s := &Stream{attempt: "a"}
			data := []byte(form)
			b.ReportAllocs()
			for b.Loop() {
				_, err := s.decode(data)
				assert.NilError(b, err)
			}
		})
	}
}
