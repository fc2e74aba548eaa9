package storer

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"monsoonspar.example/state/dissector"
)

// The wire types follow the platform's conventions, hence the camel case.
type wireMetadata struct {
	Name            string            `json:"name,omitempty"`
	ResourceVersion string            `json:"resourceVersion,omitempty"`
	Labels          map[string]string `json:"labels,omitempty"`
	Continue        string            `json:"continue,omitempty"`
	Created         time.Time         `json:"creationTimestamp,omitzero"`
}

type wireObject struct {
	Metadata wireMetadata    `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
}

type wireList struct {
	Metadata wireMetadata `json:"metadata"`
	Items    []wireObject `json:"items"`
}

type wireStatus struct {
	Code    int    `json:"code"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
}

type wireDelete struct {
	Preconditions wireMetadata `json:"preconditions"`
}

func encodeObject(o Object) ([]byte, error) {
	if o.Name == "" || o.Resource == "" {
		return nil, errors.Wrap(ErrRejected, "object without name or resource")
	}
	w := wireObject{Metadata: wireMetadata{Name: o.Name, Labels: o.Labels}, Spec: o.Spec}
	if o.Version != 0 {
		w.Metadata.ResourceVersion = strconv.FormatUint(o.Version, 10)
	}
	body, err := json.Marshal(w)
	if err != nil {
		return nil, errors.Wrapf(ErrRejected, "spec is no JSON: %v", err)
	}
	return body, nil
}

func encodeDelete(version uint64) ([]byte, error) {
	if version == 0 {
		return nil, nil
	}
	w := wireDelete{Preconditions: wireMetadata{ResourceVersion: strconv.FormatUint(version, 10)}}
	body, err := json.Marshal(w)
	return body, errors.Wrap(err, "encode options")
}

// decodeObject decodes an object. The error for a malformed body has the given
// kind.
func decodeObject(resource string, body []byte, kind error) (Object, error) {
	var w wireObject
	if err := json.Unmarshal(body, &w); err != nil {
		return Object{}, CallError{Kind: kind, Detail: "malformed object: " + err.Error()}
	}
	return w.object(resource, kind)
}

func (w wireObject) object(resource string, kind error) (Object, error) {
	version, err := strconv.ParseUint(w.Metadata.ResourceVersion, 10, 64)
	if err != nil {
		return Object{}, CallError{Kind: kind, Detail: "malformed version: " + err.Error()}
	}
	return Object{
		Resource: resource,
		Name:     w.Metadata.Name,
		Version:  version,
		Labels:   w.Metadata.Labels,
		Created:  w.Metadata.Created,
		Spec:     w.Spec,
	}, nil
}

// decodeList decodes one page of a list and returns the token of the next page,
// or an empty token on the last page.
func decodeList(resource string, body []byte) (List, string, error) {
	w, err := decodeWireList(body)
	if err != nil {
		return List{}, "", CallError{Kind: ErrUnavailable, Detail: "malformed list: " + err.Error()}
	}
	version, err := strconv.ParseUint(w.Metadata.ResourceVersion, 10, 64)
	if err != nil {
		return List{}, "", CallError{Kind: ErrUnavailable, Detail: "malformed version: " + err.Error()}
	}
	list := List{Version: version}
	for _, item := range w.Items {
		o, err := item.object(resource, ErrUnavailable)
		if err != nil {
			return List{}, "", err
		}
		list.Items = append(list.Items, o)
	}
	return list, w.Metadata.Continue, nil
}

// decodeWireList decodes a list. If an element can't be decoded, the others are decoded by themselves.
func decodeWireList(body []byte) (wireList, error) {
	var w wireList
	err := json.Unmarshal(body, &w)
	if err == nil {
		return w, nil
	}
	rest, elements, splitErr := dissector.Split(body, "items")
	if splitErr != nil {
		return wireList{}, err
	}
	w = wireList{}
	if err := json.Unmarshal(rest, &w); err != nil {
		return wireList{}, err
	}
	for _, text := range elements {
		w.Items = append(w.Items, decodeWireObject(text))
	}
	return w, nil
}

// decodeWireObject decodes an object as far as possible. A spec that can't be decoded is left to those
// who need it.
func decodeWireObject(text json.RawMessage) wireObject {
	var w wireObject
	if json.Unmarshal(text, &w) == nil {
		return w
	}
	w = wireObject{Spec: dissector.Field(text, "spec")}
	dissector.Decode(text, "metadata", &w.Metadata)
	return w
}

// decodeStatus decodes the status in the body of an error. It returns the zero
// status if the body is malformed.
func decodeStatus(body []byte) wireStatus {
	var w wireStatus
	if json.Unmarshal(body, &w) != nil {
		return wireStatus{}
	}
	return w
}
