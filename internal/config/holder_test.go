package config

import (
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"balsamyoke.example/balsamyoke/internal/manifest"
	"balsamyoke.example/balsamyoke/internal/manifest/manifesttest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// sampleManifest returns a valid manifest whose content depends on n.
func sampleManifest(n int) *manifest.Manifest {
	return &manifest.Manifest{
		Deployment: "test",
		Organisations: []manifest.Organisation{
			{Name: "north", KeyDigests: []string{manifesttest.KeyDigest("a")}},
			{Name: "south", KeyDigests: []string{manifesttest.KeyDigest("b")}, Share: 1 + float64(n)},
		},
		Services: []manifest.Service{
			{Name: "assistant", Type: manifest.ServiceModel, WeightVersion: fmt.Sprintf("w%d", n)},
		},
		Kinds: []manifest.Kind{
			{Name: "trace", Service: "assistant", Urgency: manifest.Urgent, Idempotent: true, DeadlineMS: 850},
		},
	}
}

func mustBundle(tb testing.TB, version uint64, m *manifest.Manifest) Bundle {
	bundle, err := NewBundle(version, m)
	qt.Assert(tb, err, qt.IsNil)
	return bundle
}

func TestHolderAcceptsDeltasAndNotifiesSubscribers(t *testing.T) {
	c := qt.New(t)
	holder := NewHolder()
	var notified []uint64
	holder.Subscribe(func(s *Snapshot) { notified = append(notified, s.Version) })
	c.Assert(holder.Ready(), qt.IsFalse)

	first := mustBundle(t, 1, sampleManifest(1))
	accepted, err := holder.Offer(first)
	c.Assert(err, qt.IsNil)
	c.Assert(accepted, qt.IsTrue)

	second := mustBundle(t, 2, sampleManifest(2))
	delta := second
	delta.Documents = map[string][]byte{}
	_, err = holder.Offer(delta)
	c.Assert(errorx.IsOfType(err, ErrIncomplete), qt.IsTrue)
	c.Assert(missing(err), qt.HasLen, 2)
	for _, digest := range missing(err) {
		delta.Documents[digest] = second.Documents[digest]
	}
	accepted, err = holder.Offer(delta)
	c.Assert(err, qt.IsNil)
	c.Assert(accepted, qt.IsTrue)
	service, _ := holder.Current().Index.Service("assistant")
	c.Assert(service.WeightVersion, qt.Equals, "w2")
	c.Assert(notified, qt.DeepEquals, []uint64{1, 2})

	c.Assert(holder.Ready(), qt.IsFalse)
	c.Assert(holder.Confirm(3), qt.IsFalse)
	c.Assert(holder.Confirm(2), qt.IsTrue)
	c.Assert(holder.Ready(), qt.IsTrue)
	c.Assert(holder.Delta(nil).Documents, qt.HasLen, len(second.Documents))
	c.Assert(holder.Delta(holder.Digests()).Documents, qt.HasLen, 0)
}

func TestHolderRefusesCorruptAndConflictingContent(t *testing.T) {
	c := qt.New(t)
	holder := NewHolder()
	bundle := mustBundle(t, 1, sampleManifest(1))
	for digest := range bundle.Documents {
		damaged := bundle
		damaged.Documents = map[string][]byte{}
		for d, content := range bundle.Documents {
			damaged.Documents[d] = content
		}
		damaged.Documents[digest] = append([]byte(" "), bundle.Documents[digest]...)
		_, err := holder.Offer(damaged)
		c.Assert(errorx.IsOfType(err, ErrCorrupt), qt.IsTrue)
	}
	damaged := bundle
	damaged.Tree = append([]byte(" "), bundle.Tree...)
	_, err := holder.Offer(damaged)
	c.Assert(errorx.IsOfType(err, ErrCorrupt), qt.IsTrue)
	c.Assert(holder.Current(), qt.IsNil)

	_, err = holder.Offer(bundle)
	c.Assert(err, qt.IsNil)
	_, err = holder.Offer(mustBundle(t, 1, sampleManifest(2)))
	c.Assert(errorx.IsOfType(err, ErrConflict), qt.IsTrue)
}

func TestBundleDoesNotDependOnTheOrderOfOrganisations(t *testing.T) {
	c := qt.New(t)
	m := sampleManifest(1)
	bundle := mustBundle(t, 1, m)
	m.Organisations[0], m.Organisations[1] = m.Organisations[1], m.Organisations[0]
	c.Assert(mustBundle(t, 1, m).Digest, qt.Equals, bundle.Digest)
	joined, err := bundle.Manifest()
	c.Assert(err, qt.IsNil)
	c.Assert(mustBundle(t, 1, joined).Digest, qt.Equals, bundle.Digest)
}

func TestEarlierWeightVersionsExpireAfterARollout(t *testing.T) {
	c := qt.New(t)
	holder := NewHolder()
	for version := uint64(1); version <= 6; version++ {
		_, err := holder.Offer(mustBundle(t, version, sampleManifest(int(version))))
		c.Assert(err, qt.IsNil)
	}
	now := time.Now()
	c.Assert(holder.Current().EarlierVersions("assistant", now), qt.DeepEquals, []string{"w5", "w4", "w3"})
	// Version 7 is a rollback to the content of version 5.
	_, err := holder.Offer(mustBundle(t, 7, sampleManifest(5)))
	c.Assert(err, qt.IsNil)
	c.Assert(holder.Current().EarlierVersions("assistant", now), qt.DeepEquals, []string{"w6", "w4", "w3"})
	c.Assert(holder.Current().EarlierVersions("assistant", now.Add(earlierVersionTTL+time.Minute)), qt.HasLen, 0)
	c.Assert(holder.Current().EarlierVersions("archive", now), qt.HasLen, 0)
}

// TestHolderNeverReverts offers versions in random order. The version in force must never decrease and must
// end at the highest one offered.
func TestHolderNeverReverts(t *testing.T) {
	bundles := make([]Bundle, 9)
	for i := range bundles {
		bundles[i] = mustBundle(t, uint64(i), sampleManifest(i))
	}
	rapid.Check(t, func(t *rapid.T) {
		holder := NewHolder()
		last, highest := uint64(0), uint64(0)
		holder.Subscribe(func(s *Snapshot) {
			if s.Version <= last {
				t.Fatalf("version %d came into force after %d", s.Version, last)
			}
			last = s.Version
		})
		for _, i := range rapid.SliceOfN(rapid.IntRange(1, 8), 1, 30).Draw(t, "offers") {
			if _, err := holder.Offer(bundles[i]); err != nil {
				t.Fatal(err)
			}
			highest = max(highest, uint64(i))
		}
		if holder.Version() != highest {
			t.Fatalf("version %d is in force instead of %d", holder.Version(), highest)
		}
	})
}

func TestCommittedPromelaMatchesTheChart(t *testing.T) {
	c := qt.New(t)
	committed, err := os.ReadFile("../../spec/configuration_chart.pml")
	c.Assert(err, qt.IsNil)
	c.Assert(string(committed), qt.Equals, stateChart.Promela("configuration.chart.json"))
}

func TestGraceComesFromTheManifestUnlessSet(t *testing.T) {
	c := qt.New(t)
	holder := NewHolder()
	c.Assert(holder.Current().Grace(0), qt.Equals, graceWithoutManifest)
	m := sampleManifest(1)
	m.GraceSeconds = 7
	bundle, err := NewBundle(1, m)
	c.Assert(err, qt.IsNil)
	_, err = holder.Offer(bundle)
	c.Assert(err, qt.IsNil)
	c.Assert(holder.Current().Grace(0), qt.Equals, 7*time.Second)
	c.Assert(holder.Current().Grace(2), qt.Equals, 2*time.Second)
}

// missing returns the digests that an ErrIncomplete lists.
func missing(err error) []string {
	value, ok := errorx.ExtractProperty(err, missingProperty)
	if !ok {
		return nil
	}
	digests, _ := value.([]string)
	return digests
}
