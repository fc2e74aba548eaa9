package messenger

import (
	"context"

	"monsoonspar.example/coordination/configurer"
	"monsoonspar.example/coordination/prober"

	"github.com/pkg/errors"
)

// ErrEmptyConfig is returned for a configuration message without content, and for
// an action that has no message.
var ErrEmptyConfig = errors.New("messenger: empty configuration message")

// configMessage is the union of the messages by which the configurers of two peers
// exchange the manifest; one field is set.
type configMessage struct {
	Announcement *configurer.Announcement
	Request      *configurer.Request
	Delivery     *configurer.Delivery
}

// SendGossip sends a membership message to addr.
func (m *Messenger) SendGossip(ctx context.Context, addr string, msg prober.Message) error {
	body, err := encode(&msg)
	if err != nil {
		return err
	}
	return m.transport.Send(ctx, addr, methodGossip, body)
}

// SendConfig sends the message of a configurer action to addr. It returns
// ErrEmptyConfig for an action that has no message.
func (m *Messenger) SendConfig(ctx context.Context, addr string, a configurer.Action) error {
	var msg configMessage
	switch a := a.(type) {
	case configurer.SendAnnouncement:
		msg.Announcement = &a.Announcement
	case configurer.SendRequest:
		msg.Request = &a.Request
	case configurer.SendDelivery:
		msg.Delivery = &a.Delivery
	default:
		return ErrEmptyConfig
	}
	body, err := encode(&msg)
	if err != nil {
		return err
	}
	return m.transport.Send(ctx, addr, methodConfig, body)
}

// event returns the configurer event for a message received from a peer.
func (c configMessage) event(from string) (configurer.Event, error) {
	switch {
	case c.Announcement != nil:
		return configurer.AnnouncementReceived{From: from, Announcement: *c.Announcement}, nil
	case c.Request != nil:
		return configurer.RequestReceived{From: from, Request: *c.Request}, nil
	case c.Delivery != nil:
		return configurer.DeliveryReceived{From: from, Delivery: *c.Delivery}, nil
	}
	return nil, ErrEmptyConfig
}

// handleGossip decodes a membership message and passes it to its handler.
func (d *Dispatcher) handleGossip(ctx context.Context, body []byte) error {
	var msg prober.Message
	if err := decode(body, &msg); err != nil {
		return err
	}
	d.cluster.HandleGossip(ctx, msg)
	return nil
}

// handleConfig decodes a configuration message and passes it to its handler.
func (d *Dispatcher) handleConfig(peer string, body []byte) error {
	var msg configMessage
	if err := decode(body, &msg); err != nil {
		return err
	}
	ev, err := msg.event(peer)
	if err != nil {
		return err
	}
	d.cluster.HandleConfig(ev)
	return nil
}
