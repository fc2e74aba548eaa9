package messenger

import (
	"context"

	"monsoonspar.example/coordination/configurer"
	"monsoonspar.example/coordination/prober"

	"github.com/pkg/errors"
)

// ErrKind is returned for a configuration message that holds nothing.
var ErrKind = errors.New("messenger: empty configuration message")

// configMessage holds one of the messages about configuration.
type configMessage struct {
	Announcement *configurer.Announcement
	Request      *configurer.Request
	Delivery     *configurer.Delivery
}

// SendGossip sends a message about membership to addr.
func (m *Messenger) SendGossip(ctx context.Context, addr string, msg prober.Message) error {
	body, err := pack(&msg)
	if err != nil {
		return err
	}
	return m.caller.Send(ctx, addr, methodGossip, body)
}

// SendConfig sends the message of an action of the configuration core to addr.
// Other actions send nothing.
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
		return ErrKind
	}
	body, err := pack(&msg)
	if err != nil {
		return err
	}
	return m.caller.Send(ctx, addr, methodConfig, body)
}

// event returns the event that the message is for its receiver.
func (c configMessage) event(from string) (configurer.Event, error) {
	switch {
	case c.Announcement != nil:
		return configurer.AnnouncementReceived{From: from, Announcement: *c.Announcement}, nil
	case c.Request != nil:
		return configurer.RequestReceived{From: from, Request: *c.Request}, nil
	case c.Delivery != nil:
		return configurer.DeliveryReceived{From: from, Delivery: *c.Delivery}, nil
	}
	return nil, ErrKind
}

// gossipCall decodes a message about membership.
func (d *Dispatcher) gossipCall(ctx context.Context, body []byte) error {
	var msg prober.Message
	if err := decode(body, &msg); err != nil {
		return err
	}
	d.gossip.HandleGossip(ctx, msg)
	return nil
}

// configCall decodes a message about configuration.
func (d *Dispatcher) configCall(peer string, body []byte) error {
	var msg configMessage
	if err := decode(body, &msg); err != nil {
		return err
	}
	ev, err := msg.event(peer)
	if err != nil {
		return err
	}
	d.gossip.HandleConfig(ev)
	return nil
}
