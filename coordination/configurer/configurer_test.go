package configurer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"monsoonspar.example/coordination/configurer"
	"monsoonspar.example/state/cataloger"
	"monsoonspar.example/state/parser"
	"monsoonspar.example/state/partitioner"
)

var start = time.Unix(0, 0)

// snapshot returns a manifest with a number of customers of the same weight.
func snapshot(t testing.TB, customers, weight int) partitioner.Snapshot {
	t.Helper()
	text := "[deployment]\nname = demo\nregion = r\n[priority normal]\nlevel = 1\n"
	for i := range customers {
		text += fmt.Sprintf("[customer c%d]\nkey_hashes = %064x\npriority = normal\nweight = %d\n", i, i, weight)
	}
	sections, err := parser.Sections("test.ini", []byte(text))
	assert.NilError(t, err)
	s, err := partitioner.Split(sections)
	assert.NilError(t, err)
	return s
}

// newCore returns a Core with peers b and c that has handled one Tick.
func newCore() *configurer.Core {
	return newCoreWith(configurer.Member{Name: "b", Domain: "north"}, configurer.Member{Name: "c", Domain: "south"})
}

// newCoreWith returns a Core with the given peers that has handled one Tick.
func newCoreWith(peers ...configurer.Member) *configurer.Core {
	cfg := configurer.DefaultConfig()
	cfg.Name, cfg.Domain, cfg.Deployment = "a", "north", "demo"
	core := configurer.New(cfg, rand.New(rand.NewPCG(1, 2)))
	core.Handle(start, configurer.MembersChanged{Members: append(peers, configurer.Member{Name: "a", Domain: "north"})})
	core.Handle(start, configurer.Tick{})
	return core
}

func head(g cataloger.Generation, s partitioner.Snapshot) configurer.Head {
	return configurer.Head{Generation: g, Parts: s.Digests()}
}

// installFromPlatform installs s at core from the platform. The join must be over
// at now.
func installFromPlatform(t testing.TB, core *configurer.Core, now time.Time, g cataloger.Generation, s partitioner.Snapshot) {
	t.Helper()
	core.Handle(now, configurer.HeadReceived{Head: head(g, s)})
	core.Handle(now, configurer.PartsRead{Parts: s.Parts})
	assert.Equal(t, core.Generation(), g)
}

// actionsOf returns the actions of type T.
func actionsOf[T configurer.Action](actions []configurer.Action) []T {
	var found []T
	for _, a := range actions {
		if a, ok := a.(T); ok {
			found = append(found, a)
		}
	}
	return found
}

func announcement(g cataloger.Generation, s partitioner.Snapshot) configurer.Announcement {
	return configurer.Announcement{Generation: g, Root: s.Root}
}

// A new daemon must not install a manifest read from the platform, which may be
// stale, before its peers have answered and the manifest that they announce is
// fetched. It then installs the latter without waiting for the join timeout.
func TestNewDaemonWaitsForPeersBeforeInstallingARead(t *testing.T) {
	stale, fresh := snapshot(t, 1, 1), snapshot(t, 1, 2)
	peers := []configurer.Member{{Name: "b", Domain: "north"}, {Name: "c", Domain: "south"}}
	for n := range peers {
		core := newCoreWith(peers[:n+1]...)
		core.Handle(start, configurer.HeadReceived{Head: head(7, stale)})
		actions := core.Handle(start, configurer.PartsRead{Parts: stale.Parts})
		for _, peer := range peers[:n+1] {
			actions = append(actions, core.Handle(start, configurer.AnnouncementReceived{
				From: peer.Name, Announcement: announcement(8, fresh),
			})...)
		}
		actions = append(actions, core.Handle(start, configurer.DeliveryReceived{From: "b", Delivery: configurer.Delivery{
			Generation: 8, Root: fresh.Root, Digests: fresh.Digests(),
		}})...)
		assert.Equal(t, len(actionsOf[configurer.Install](actions)), 0)
		actions = core.Handle(start, configurer.DeliveryReceived{From: "b", Delivery: configurer.Delivery{
			Generation: 8, Root: fresh.Root, Parts: fresh.Parts,
		}})
		assert.Equal(t, len(actionsOf[configurer.Install](actions)), 1)
		assert.Equal(t, core.Generation(), cataloger.Generation(8))
	}
}

func TestNewDaemonInstallsTheReadWhenNoPeerAnswers(t *testing.T) {
	core := newCore()
	s := snapshot(t, 1, 1)
	core.Handle(start, configurer.HeadReceived{Head: head(7, s)})
	core.Handle(start, configurer.PartsRead{Parts: s.Parts})
	actions := core.Handle(start.Add(time.Second), configurer.Tick{})
	assert.Equal(t, len(actionsOf[configurer.Install](actions)), 1)
}

func TestOlderGenerationsAreIgnored(t *testing.T) {
	core := newCore()
	now := start.Add(time.Minute)
	older, newer := snapshot(t, 1, 1), snapshot(t, 1, 2)
	installFromPlatform(t, core, now, 5, newer)
	for _, ev := range []configurer.Event{
		configurer.HeadReceived{Head: head(4, older)},
		configurer.PartsRead{Parts: older.Parts},
		configurer.DeliveryReceived{From: "b", Delivery: configurer.Delivery{Generation: 4, Root: older.Root, Digests: older.Digests()}},
		configurer.DeliveryReceived{From: "b", Delivery: configurer.Delivery{Generation: 4, Root: older.Root, Parts: older.Parts}},
	} {
		assert.Equal(t, len(core.Handle(now, ev)), 0, "%T", ev)
	}
	actions := core.Handle(now, configurer.AnnouncementReceived{From: "b", Announcement: announcement(4, older)})
	assert.Equal(t, len(actionsOf[configurer.SendAnnouncement](actions)), 1)
	assert.Equal(t, core.Generation(), cataloger.Generation(5))
}

func TestOneGenerationWithTwoContentsIsRejectedOnce(t *testing.T) {
	core := newCore()
	now := start.Add(time.Minute)
	installFromPlatform(t, core, now, 5, snapshot(t, 1, 1))
	for _, rejects := range []int{1, 0} {
		actions := core.Handle(now, configurer.HeadReceived{Head: head(5, snapshot(t, 1, 2))})
		assert.Equal(t, len(actionsOf[configurer.Reject](actions)), rejects)
	}
}

func TestRejectedManifestKeepsTheOldInForce(t *testing.T) {
	core := newCore()
	now := start.Add(time.Minute)
	installFromPlatform(t, core, now, 5, snapshot(t, 1, 1))
	invalid, err := partitioner.Split([]parser.Section{{Title: "deployment", Text: "[deployment]\nname = demo\n"}})
	assert.NilError(t, err)
	foreign, err := partitioner.Split([]parser.Section{{Title: "deployment", Text: "[deployment]\nname = other\nregion = r\n"}})
	assert.NilError(t, err)
	for g, tt := range []struct {
		s    partitioner.Snapshot
		want error
	}{{invalid, configurer.ErrInvalid}, {foreign, configurer.ErrDeployment}} {
		core.Handle(now, configurer.HeadReceived{Head: head(cataloger.Generation(6+g), tt.s)})
		rejects := actionsOf[configurer.Reject](core.Handle(now, configurer.PartsRead{Parts: tt.s.Parts}))
		assert.Equal(t, len(rejects), 1)
		assert.Assert(t, errors.Is(rejects[0].Err, tt.want), rejects[0].Err)
		assert.Equal(t, core.Generation(), cataloger.Generation(5))
	}
	installFromPlatform(t, core, now, 8, snapshot(t, 1, 2))
}

func TestPartlyReadManifestIsNotInstalled(t *testing.T) {
	core := newCore()
	now := start.Add(time.Minute)
	installFromPlatform(t, core, now, 5, snapshot(t, 1, 1))
	s := snapshot(t, 100, 2)
	assert.Assert(t, len(s.Parts) > 2)
	core.Handle(now, configurer.HeadReceived{Head: head(6, s)})
	core.Handle(now, configurer.PartsRead{Parts: s.Parts[:2]})
	core.Handle(now, configurer.ReadPartsFailed{})
	assert.Equal(t, core.Generation(), cataloger.Generation(5))
	// The parts that were read are kept for the next attempt.
	actions := core.Handle(now, configurer.HeadReceived{Head: head(6, s)})
	assert.Equal(t, len(actionsOf[configurer.ReadParts](actions)[0].Digests), len(s.Parts)-2)
	core.Handle(now, configurer.PartsRead{Parts: s.Parts[2:]})
	assert.Equal(t, core.Generation(), cataloger.Generation(6))
}

func TestPartsWithWrongDigestAreIgnored(t *testing.T) {
	core := newCore()
	now := start.Add(time.Minute)
	s := snapshot(t, 1, 1)
	core.Handle(now, configurer.HeadReceived{Head: head(1, s)})
	core.Handle(now, configurer.PartsRead{Parts: []partitioner.Part{{Digest: s.Parts[0].Digest, Text: "[deployment]\n"}}})
	assert.Equal(t, core.Generation(), cataloger.Generation(0))
}

// exchange passes the requests of a to b and the deliveries of b to a until there
// are no more, and returns the deliveries.
func exchange(now time.Time, a, b *configurer.Core, actions []configurer.Action) []configurer.Delivery {
	var deliveries []configurer.Delivery
	for len(actions) > 0 {
		requests := actionsOf[configurer.SendRequest](actions)
		actions = nil
		for _, r := range requests {
			answers := b.Handle(now, configurer.RequestReceived{From: "a", Request: r.Request})
			for _, d := range actionsOf[configurer.SendDelivery](answers) {
				deliveries = append(deliveries, d.Delivery)
				actions = append(actions, a.Handle(now, configurer.DeliveryReceived{From: "b", Delivery: d.Delivery})...)
			}
		}
	}
	return deliveries
}

func TestPeerSendsAChangeOrParts(t *testing.T) {
	now := start.Add(time.Minute)
	first, second, third := snapshot(t, 800, 1), snapshot(t, 801, 1), snapshot(t, 802, 1)
	receiver, sender := newCore(), newCore()
	installFromPlatform(t, receiver, now, 1, first)
	installFromPlatform(t, sender, now, 1, first)
	installFromPlatform(t, sender, now, 2, second)
	installFromPlatform(t, sender, now, 4, third)
	actions := receiver.Handle(now, configurer.AnnouncementReceived{From: "b", Announcement: announcement(4, third)})
	deliveries := exchange(now, receiver, sender, actions)
	assert.Equal(t, len(deliveries), 1)
	assert.DeepEqual(t, deliveries[0].Change.Titles(), []string{"customer c800", "customer c801"})
	assert.Equal(t, receiver.Generation(), cataloger.Generation(4))

	// A daemon without a manifest gets all parts, in deliveries of bounded size.
	fresh := newCore()
	actions = fresh.Handle(now, configurer.AnnouncementReceived{From: "b", Announcement: announcement(4, third)})
	deliveries = exchange(now, fresh, sender, actions)
	assert.Equal(t, fresh.Generation(), cataloger.Generation(4))
	assert.Assert(t, len(deliveries) > 2)
	for _, d := range deliveries {
		size := 0
		for _, p := range d.Parts {
			size += len(p.Text)
		}
		assert.Assert(t, size <= configurer.DefaultConfig().MaxDeliveryBytes)
	}
}

func TestWrongChangeIsReplacedByParts(t *testing.T) {
	now := start.Add(time.Minute)
	first, second := snapshot(t, 10, 1), snapshot(t, 10, 2)
	receiver, sender := newCore(), newCore()
	installFromPlatform(t, receiver, now, 1, first)
	installFromPlatform(t, sender, now, 2, second)
	actions := receiver.Handle(now, configurer.DeliveryReceived{From: "b", Delivery: configurer.Delivery{
		Generation: 2, Root: second.Root, Base: first.Root, Change: &partitioner.Change{Remove: []string{"customer c3"}},
	}})
	assert.Equal(t, receiver.Generation(), cataloger.Generation(1))
	exchange(now, receiver, sender, actions)
	assert.Equal(t, receiver.Generation(), cataloger.Generation(2))
}

func TestIdleWatchIsReplaced(t *testing.T) {
	core := newCore()
	now := start.Add(time.Minute) // The first watch has had no event.
	actions := core.Handle(now, configurer.Tick{})
	assert.DeepEqual(t, actionsOf[configurer.StopWatch](actions), []configurer.StopWatch{{ID: 1}})
	assert.DeepEqual(t, actionsOf[configurer.Watch](actions), []configurer.Watch{{ID: 2}})
	// A late event of the stopped watch is ignored.
	s := snapshot(t, 1, 1)
	assert.Equal(t, len(core.Handle(now, configurer.HeadReceived{Watch: 1, Head: head(1, s)})), 0)
	assert.Assert(t, len(core.Handle(now, configurer.HeadReceived{Watch: 2, Head: head(1, s)})) > 0)
}

func TestFewDaemonsOfADomainWatch(t *testing.T) {
	var members []configurer.Member
	for i := range 40 {
		members = append(members, configurer.Member{Name: fmt.Sprint("vm-", i), Domain: fmt.Sprint("domain-", i%4)})
	}
	watchers := make(map[string]int)
	for _, m := range members {
		cfg := configurer.DefaultConfig()
		cfg.Name, cfg.Domain = m.Name, m.Domain
		core := configurer.New(cfg, rand.New(rand.NewPCG(1, 2)))
		core.Handle(start, configurer.MembersChanged{Members: members})
		watchers[m.Domain] += len(actionsOf[configurer.Watch](core.Handle(start, configurer.Tick{})))
	}
	assert.DeepEqual(t, watchers, map[string]int{"domain-0": 2, "domain-1": 2, "domain-2": 2, "domain-3": 2})
}

func ExampleCore() {
	cfg := configurer.DefaultConfig()
	cfg.Name, cfg.Domain = "milano-a-1", "milano-a"
	core := configurer.New(cfg, rand.New(rand.NewPCG(1, 2)))
	for _, action := range core.Handle(time.Unix(0, 0), configurer.Tick{}) {
		fmt.Printf("%T\n", action)
	}
	// Output:
	// configurer.Watch
	// configurer.ReadHead
}
