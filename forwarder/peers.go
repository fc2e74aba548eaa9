package forwarder

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"monsoonspar.example/state/matcher"
	"monsoonspar.example/state/registrar"
	"monsoonspar.example/transport/framer"
)

// Times and bounds of the talk between daemons.
const (
	newsInterval  = 8 * time.Millisecond    // A placement is known to the peers before most others; 60 are made in a second.
	lazyInterval  = 300 * time.Millisecond  // For the ends of jobs and for reports; a tenth of a job's time.
	smallMesh     = 16                      // Fewer daemons tell everything at once.
	greetInterval = time.Second             // Tells versions, and finds a peer that does not answer.
	greetTimeout  = 600 * time.Millisecond  // Several round trips between failure domains.
	freshKept     = 2500 * time.Millisecond // Two greetings; a daemon that hears from no watcher for longer watches itself.
	peerRetry     = time.Second
	meshLimit     = 128 // More daemons than this tell only those of their own failure domain.
	newsQueue     = 64  // Batches that wait for one peer; one that takes none for longer is behind anyway.
)

// Methods between daemons.
const (
	methodNews      = "news"
	methodGreet     = "greet"
	methodManifest  = "manifest"
	methodEndpoints = "endpoints"
	methodLend      = "lend"
)

// errMethod means that a peer asks for something that this version does not know.
var errMethod = errors.New("unknown method")

// greeting tells what a daemon knows.
type greeting struct {
	Daemon   Daemon `msgpack:"daemon"`
	Manifest int64  `msgpack:"manifest"`
	Digest   uint64 `msgpack:"digest"` // Of the endpoints.
	Fresh    bool   `msgpack:"fresh"`  // The daemon hears from the store.
}

// endpointsMessage is the wire form of a list of endpoints.
type endpointsMessage struct {
	Endpoints []registrar.Endpoint `msgpack:"endpoints"`
	Revision  int64                `msgpack:"revision"`
}

// peers are the other daemons that this one talks to.
type peers struct {
	f    *Forwarder
	node *framer.Node

	mu    sync.Mutex
	known map[string]*peer // By name.
	next  newsMessage      // Sent with the next batch, besides the news of placers.
}

// peer is one other daemon.
type peer struct {
	daemon Daemon
	queue  chan []byte
	cancel context.CancelFunc
	alive  bool
	fresh  time.Time // When it last said that it hears from the store.
}

func newPeers(f *Forwarder) *peers {
	p := &peers{f: f, known: map[string]*peer{}}
	p.node = framer.NewNode(framer.Config{Name: f.cfg.Daemon.Name, Key: []byte(f.cfg.Daemon.PeersKey)}, p)
	return p
}

// setDaemons takes the list of daemons and talks to those in reach.
func (p *peers) setDaemons(all []Daemon) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := map[string]Daemon{}
	for _, d := range all {
		if d.Name != p.f.cfg.Daemon.Name && d.Addr != "" && (len(all) <= meshLimit || d.Domain == p.f.cfg.Daemon.Domain) {
			wanted[d.Name] = d
		}
	}
	for name, o := range p.known {
		if d, ok := wanted[name]; !ok || d.Addr != o.daemon.Addr {
			o.cancel()
			delete(p.known, name)
		}
	}
	for name, d := range wanted {
		if p.known[name] == nil {
			p.add(d)
		}
	}
}

// add begins to talk to a daemon. The mutex is held.
func (p *peers) add(d Daemon) {
	ctx, cancel := context.WithCancel(p.f.ctx)
	o := &peer{daemon: d, queue: make(chan []byte, newsQueue), cancel: cancel}
	p.known[d.Name] = o
	p.f.spawn(func() { p.talk(ctx, o) })
}

// addSeeds greets daemons of which only the address is known, so that a daemon
// that starts while the store is away hears of the others. The list of daemons
// takes their place.
func (p *peers) addSeeds(addrs []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, addr := range addrs {
		if addr != "" && addr != p.f.cfg.Daemon.Peers {
			p.add(Daemon{Name: seedName + addr, Addr: addr})
		}
	}
}

// seedName begins the name of a daemon of which only the address is known.
const seedName = "seed "

// isSeed reports whether only the address of the peer is known.
func (o *peer) isSeed() bool { return strings.HasPrefix(o.daemon.Name, seedName) }

// answers reports whether the peer is known by name and answers. The mutex of
// the peers is held.
func (o *peer) answers() bool { return o.alive && !o.isSeed() }

// living returns the peers that answer.
func (p *peers) living() []Daemon {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []Daemon
	for _, o := range p.known {
		if o.answers() {
			all = append(all, o.daemon)
		}
	}
	return all
}

// any reports whether some peer answers.
func (p *peers) any() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.known {
		if o.answers() {
			return true
		}
	}
	return false
}

// talk sends news to one peer and greets it, until ctx ends.
func (p *peers) talk(ctx context.Context, o *peer) {
	for ctx.Err() == nil {
		err := p.greet(ctx, o)
		p.setAlive(o, err)
		if err != nil {
			if p.f.clock.Sleep(ctx, peerRetry) != nil {
				return
			}
			continue
		}
		if err := p.sendNews(ctx, o); err != nil {
			p.setAlive(o, err)
		}
	}
}

// setAlive notes whether a peer answers.
func (p *peers) setAlive(o *peer, err error) {
	p.mu.Lock()
	was := o.alive
	o.alive = err == nil
	p.mu.Unlock()
	switch {
	case was && err != nil:
		p.f.metrics.count("peers_lost")
		p.f.log.Warn().Err(err).Str("peer", o.daemon.Name).Msg("forwarder: dependency lost: peer")
	case !was && err == nil:
		p.f.metrics.count("peers_regained")
		p.f.log.Info().Str("peer", o.daemon.Name).Msg("forwarder: dependency regained: peer")
	}
}

// sendNews sends what is queued for a peer until the next greeting is due.
func (p *peers) sendNews(ctx context.Context, o *peer) error {
	c, cancel := context.WithTimeout(ctx, greetInterval)
	defer cancel()
	for {
		select {
		case body := <-o.queue:
			if err := p.node.Send(ctx, o.daemon.Addr, methodNews, body); err != nil {
				return err
			}
		case <-c.Done():
			return nil
		}
	}
}

// greet exchanges versions with a peer and takes what it knows better.
func (p *peers) greet(ctx context.Context, o *peer) error {
	c, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	var g greeting
	if err := p.call(c, o, methodGreet, p.greeting(), &g); err != nil {
		return err
	}
	p.noteFresh(o, g.Fresh)
	p.meet(g.Daemon)
	own := p.greeting()
	if g.Manifest > own.Manifest {
		if err := p.fetchManifest(c, o); err != nil {
			return err
		}
	}
	if g.Digest != own.Digest && g.Fresh && !own.Fresh {
		var l endpointsMessage
		if err := p.call(c, o, methodEndpoints, own, &l); err != nil {
			return err
		}
		p.f.log.Info().Str("peer", o.daemon.Name).Int64("revision", l.Revision).Msg("forwarder: endpoints taken from a peer")
		p.f.endpointsChanged(p.f.registry.Replace(l.Endpoints, l.Revision, false, p.f.clock.Now()))
	}
	return nil
}

// fetchManifest puts the manifest of a peer in force if it is newer.
func (p *peers) fetchManifest(ctx context.Context, o *peer) error {
	var m matcher.Manifest
	if err := p.call(ctx, o, methodManifest, p.greeting(), &m); err != nil {
		return err
	}
	p.f.useManifest(&m, "peer "+o.daemon.Name)
	return nil
}

// noteFresh notes whether a peer hears from the store.
func (p *peers) noteFresh(o *peer, fresh bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o.fresh = time.Time{}
	if fresh {
		o.fresh = p.f.clock.Now()
	}
}

// hearsWatcher reports whether a peer that hears from the store has said so of
// late.
func (p *peers) hearsWatcher() bool {
	now := p.f.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.known {
		if o.alive && !o.fresh.IsZero() && now.Sub(o.fresh) < freshKept {
			return true
		}
	}
	return false
}

// greeting returns what this daemon knows.
func (p *peers) greeting() greeting {
	g := greeting{
		Daemon: Daemon{Name: p.f.cfg.Daemon.Name, Addr: p.f.cfg.Daemon.Peers, Domain: p.f.cfg.Daemon.Domain},
		Digest: p.f.registry.Digest(), Fresh: p.f.storeFresh.Load(),
	}
	if t := p.f.table.Load(); t != nil {
		g.Manifest = t.Manifest.Version
	}
	return g
}

// call makes a call to a peer.
func (p *peers) call(ctx context.Context, o *peer, method string, in, out any) error {
	body, err := msgpack.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode "+method)
	}
	answer, err := p.node.Call(ctx, o.daemon.Addr, method, body)
	if err != nil {
		return err
	}
	return errors.Wrap(msgpack.Unmarshal(answer, out), "decode "+method)
}

// HandleCall answers a peer.
func (p *peers) HandleCall(_ context.Context, name, method string, body []byte) ([]byte, error) {
	switch method {
	case methodNews:
		var m newsMessage
		if err := msgpack.Unmarshal(body, &m); err != nil {
			p.f.log.Warn().Err(err).Str("peer", name).Msg("forwarder: unreadable news dropped")
			return nil, err
		}
		p.takeNews(name, &m)
		return nil, nil
	case methodGreet:
		var g greeting
		if err := msgpack.Unmarshal(body, &g); err != nil {
			return nil, err
		}
		p.meet(g.Daemon)
		return msgpack.Marshal(p.greeting())
	case methodManifest:
		t := p.f.table.Load()
		if t == nil {
			return nil, ErrNotFound
		}
		return msgpack.Marshal(t.Manifest)
	case methodLend:
		return p.lend(name, body)
	case methodEndpoints:
		return msgpack.Marshal(endpointsMessage{Endpoints: p.f.registry.All(), Revision: p.f.registry.Revision()})
	default:
		return nil, errMethod
	}
}

// meet learns of a daemon that calls and is not on the list yet.
func (p *peers) meet(d Daemon) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d.Name == "" || d.Addr == "" || d.Name == p.f.cfg.Daemon.Name || len(p.known) >= meshLimit {
		return
	}
	if o := p.known[d.Name]; o == nil {
		p.add(d)
	}
}
