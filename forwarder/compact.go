package forwarder

import (
	"bytes"
	"reflect"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"monsoonspar.example/coordination/placer"
	"monsoonspar.example/state/registrar"
)

// The compact form of a batch of updates is a sequence of msgpack values: the identities that the
// batch mentions, a compactHead, and a list of serviceReports. A daemon sends it to the peers whose
// syncs name compactWire or more, and the form of updateMessage to the others.
//
//   - A struct is an array: a bit set of its fields that are not zero, then their values. The bit of a
//     boolean field is its value. New fields have to be added at the end of their struct; a daemon
//     that does not know them ignores them.
//   - Structs without zero fields (denseTypes) are stored in lists as the number of their fields, then
//     the values of all structs.
//   - An identity is its index in the list of identities.
//   - A duration is a number of milliseconds, rounded away from zero.
//   - All other types have their usual form, which includes the rare parts of a batch.

// compactWire is the number in the syncs of daemons that decode the compact form. Daemons of
// earlier versions name none, which is zero.
const compactWire = 1

// errCompact means that a batch in the compact form is malformed.
var errCompact = errors.New("malformed batch of updates")

// compactHead is the part of a batch before the reports.
type compactHead struct {
	Services []serviceUpdates
	Other    *updateMessage // Without Services and Reports; nil if it is empty.
	Relay    bool           // As in updateMessage.
	Origin   string         // As in updateMessage.
}

// serviceReports are the reports of the engines of one service.
type serviceReports struct {
	Service string
	Reports []reportUpdate // Without Service.
}

// Types with a form of their own.
var (
	identityType = reflect.TypeFor[registrar.Identity]()
	durationType = reflect.TypeFor[time.Duration]()
	denseTypes   = map[reflect.Type]bool{identityType: true, reflect.TypeFor[placer.Sequence](): true}
)

// encodeCompact returns the compact form of the batch.
func (m *updateMessage) encodeCompact() (batch, error) {
	other := *m
	other.Services, other.Reports = nil, nil
	head := compactHead{Services: m.Services, Relay: m.relay, Origin: m.origin}
	if !other.empty() {
		head.Other = &other
	}
	p := newPacker()
	if err := p.pack(reflect.ValueOf(head)); err != nil {
		return batch{}, errors.Wrap(err, "encode updates")
	}
	start := p.out.Len()
	if err := p.pack(reflect.ValueOf(groupReports(m.Reports))); err != nil {
		return batch{}, errors.Wrap(err, "encode reports")
	}
	b := batch{method: methodCompact, reportBytes: p.out.Len() - start}
	ids := newPacker()
	if err := ids.packDense(reflect.ValueOf(p.list)); err != nil {
		return batch{}, errors.Wrap(err, "encode identities")
	}
	b.body = append(ids.out.Bytes(), p.out.Bytes()...)
	return b, nil
}

// groupReports returns the reports by service.
func groupReports(reports []reportUpdate) []serviceReports {
	var groups []serviceReports
	for _, r := range reports {
		i := slices.IndexFunc(groups, func(g serviceReports) bool { return g.Service == r.Service })
		if i < 0 {
			i = len(groups)
			groups = append(groups, serviceReports{Service: r.Service})
		}
		r.Service = ""
		groups[i].Reports = append(groups[i].Reports, r)
	}
	return groups
}

// decodeCompact decodes the compact form of a batch. The error matches errCompact.
func decodeCompact(body []byte) (*updateMessage, error) {
	u := &unpacker{dec: msgpack.NewDecoder(bytes.NewReader(body))}
	var head compactHead
	var groups []serviceReports
	if err := u.unpackDense(reflect.ValueOf(&u.ids).Elem()); err != nil {
		return nil, errors.Wrap(errCompact, err.Error())
	}
	if err := u.unpack(reflect.ValueOf(&head).Elem()); err != nil {
		return nil, errors.Wrap(errCompact, err.Error())
	}
	if err := u.unpack(reflect.ValueOf(&groups).Elem()); err != nil {
		return nil, errors.Wrap(errCompact, err.Error())
	}
	m := &updateMessage{}
	if head.Other != nil {
		m = head.Other
	}
	m.Services, m.relay, m.origin, m.compact = head.Services, head.Relay, head.Origin, true
	for _, g := range groups {
		for _, r := range g.Reports {
			r.Service = g.Service
			m.Reports = append(m.Reports, r)
		}
	}
	return m, nil
}

// isPacked reports whether a field of a struct is sent.
func isPacked(f *reflect.StructField) bool { return f.IsExported() && f.Tag.Get("msgpack") != "-" }

// packer encodes values in the compact form.
type packer struct {
	out   bytes.Buffer
	enc   *msgpack.Encoder
	index map[registrar.Identity]int // In list.
	list  []registrar.Identity
}

func newPacker() *packer {
	p := &packer{index: map[registrar.Identity]int{}}
	p.enc = msgpack.NewEncoder(&p.out)
	p.enc.UseCompactInts(true)
	p.enc.UseCompactFloats(true)
	return p
}

// pack encodes one value.
func (p *packer) pack(v reflect.Value) error {
	t := v.Type()
	switch {
	case t == identityType:
		id, _ := v.Interface().(registrar.Identity)
		return p.enc.EncodeInt(int64(p.identity(id)))
	case t == durationType:
		return p.enc.EncodeInt(millisFromZero(time.Duration(v.Int())))
	case t.Kind() == reflect.Struct:
		return p.packStruct(v)
	case t.Kind() == reflect.Slice && denseTypes[t.Elem()]:
		return p.packDense(v)
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		if err := p.enc.EncodeArrayLen(v.Len()); err != nil {
			return err
		}
		for i := range v.Len() {
			if err := p.pack(v.Index(i)); err != nil {
				return err
			}
		}
		return nil
	default:
		return p.enc.EncodeValue(v)
	}
}

// identity returns the index of an identity in the list.
func (p *packer) identity(id registrar.Identity) int {
	i, ok := p.index[id]
	if !ok {
		i = len(p.list)
		p.index[id], p.list = i, append(p.list, id)
	}
	return i
}

// packStruct encodes the fields of a struct that are not zero.
func (p *packer) packStruct(v reflect.Value) error {
	t := v.Type()
	var set, bit uint64
	var values []int
	for i := range t.NumField() {
		f := t.Field(i)
		if !isPacked(&f) {
			continue
		}
		if !v.Field(i).IsZero() {
			set |= 1 << bit
			if f.Type.Kind() != reflect.Bool {
				values = append(values, i)
			}
		}
		bit++
	}
	if err := p.enc.EncodeArrayLen(1 + len(values)); err != nil {
		return err
	}
	if err := p.enc.EncodeUint(set); err != nil {
		return err
	}
	for _, i := range values {
		if err := p.pack(v.Field(i)); err != nil {
			return err
		}
	}
	return nil
}

// packDense encodes a slice of structs with all fields.
func (p *packer) packDense(v reflect.Value) error {
	n := v.Type().Elem().NumField()
	if err := p.enc.EncodeArrayLen(1 + n*v.Len()); err != nil {
		return err
	}
	if err := p.enc.EncodeInt(int64(n)); err != nil {
		return err
	}
	for i := range v.Len() {
		for k := range n {
			if err := p.pack(v.Index(i).Field(k)); err != nil {
				return err
			}
		}
	}
	return nil
}

// millisFromZero returns a duration in milliseconds, rounded away from zero, so that only zero
// becomes zero.
func millisFromZero(d time.Duration) int64 {
	up := time.Millisecond - 1
	if d < 0 {
		up = -up
	}
	return int64((d + up) / time.Millisecond)
}

// unpacker decodes values in the compact form.
type unpacker struct {
	dec *msgpack.Decoder
	ids []registrar.Identity
}

// unpack decodes one value into v.
func (u *unpacker) unpack(v reflect.Value) error {
	t := v.Type()
	switch {
	case t == identityType:
		i, err := u.dec.DecodeInt()
		if err == nil && (i < 0 || i >= len(u.ids)) {
			err = errCompact
		}
		if err == nil {
			v.Set(reflect.ValueOf(u.ids[i]))
		}
		return err
	case t == durationType:
		n, err := u.dec.DecodeInt64()
		v.SetInt(n * int64(time.Millisecond))
		return err
	case t.Kind() == reflect.Struct:
		return u.unpackStruct(v)
	case t.Kind() == reflect.Slice && denseTypes[t.Elem()]:
		return u.unpackDense(v)
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		n, err := u.dec.DecodeArrayLen()
		for range n { // The memory is allocated only as elements are decoded.
			e := reflect.New(t.Elem()).Elem()
			if err := u.unpack(e); err != nil {
				return err
			}
			v.Set(reflect.Append(v, e))
		}
		return err
	default:
		return u.dec.DecodeValue(v)
	}
}

// unpackStruct decodes a struct.
func (u *unpacker) unpackStruct(v reflect.Value) error {
	n, err := u.dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	set, err := u.dec.DecodeUint64()
	if err != nil {
		return err
	}
	n--
	t, bit := v.Type(), 0
	for i := range t.NumField() {
		f := t.Field(i)
		if !isPacked(&f) {
			continue
		}
		isSet := set>>bit&1 != 0
		bit++
		switch {
		case !isSet:
		case f.Type.Kind() == reflect.Bool:
			v.Field(i).SetBool(true)
		case n <= 0:
			return errCompact
		default:
			n--
			if err := u.unpack(v.Field(i)); err != nil {
				return err
			}
		}
	}
	return u.skip(n) // Fields that this version does not know.
}

// unpackDense decodes a slice of structs with all fields.
func (u *unpacker) unpackDense(v reflect.Value) error {
	n, err := u.dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	width, err := u.dec.DecodeInt()
	if err != nil {
		return err
	}
	if width <= 0 {
		return errCompact
	}
	t := v.Type().Elem()
	for range (n - 1) / width {
		e := reflect.New(t).Elem()
		for k := range min(width, t.NumField()) {
			if err := u.unpack(e.Field(k)); err != nil {
				return err
			}
		}
		if err := u.skip(width - t.NumField()); err != nil {
			return err
		}
		v.Set(reflect.Append(v, e))
	}
	return nil
}

// skip skips n values.
func (u *unpacker) skip(n int) error {
	for range n {
		if err := u.dec.Skip(); err != nil {
			return err
		}
	}
	return nil
}
