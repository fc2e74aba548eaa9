// Package dissector takes JSON messages apart whose lists have elements of several
// writers, so that an element that can't be decoded costs only itself.
//
// It finds the ends of values by counting brackets, without recursion, and therefore
// accepts values that are nested too deeply for a decoder.
package dissector

import (
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/tidwall/gjson"
)

// ErrNoList means that a message is malformed outside of the elements of its list, or has no
// such list.
var ErrNoList = errors.New("the message has no list that can be taken apart")

// Split returns the message, which is an object, with an empty list in place of the named one,
// and the elements of that list. The elements may not be valid JSON.
func Split(text []byte, list string) (rest []byte, elements []json.RawMessage, err error) {
	found := gjson.GetBytes(text, list)
	if !found.IsArray() || found.Index <= 0 {
		return nil, nil, ErrNoList
	}
	found.ForEach(func(_, element gjson.Result) bool {
		elements = append(elements, json.RawMessage(element.Raw))
		return true
	})
	rest = append(rest, text[:found.Index]...)
	rest = append(rest, "[]"...)
	rest = append(rest, text[found.Index+len(found.Raw):]...)
	if !json.Valid(rest) {
		return nil, nil, ErrNoList
	}
	return rest, elements, nil
}

// Field returns the value at a path, such as "metadata.name", of an object that may not be valid
// JSON, or nil if it has none.
func Field(object json.RawMessage, path string) json.RawMessage {
	found := gjson.GetBytes(object, path)
	if !found.Exists() {
		return nil
	}
	return json.RawMessage(found.Raw)
}

// Decode decodes the value at a path of an object that may not be valid JSON into v. It leaves v
// as it is if the value is missing or can't be decoded.
func Decode(object json.RawMessage, path string, v any) {
	if text := Field(object, path); text != nil {
		_ = json.Unmarshal(text, v) // A value that can't be decoded is missing.
	}
}
