package deploy

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/agent"
	"balsamyoke.example/balsamyoke/internal/config"
	"balsamyoke.example/balsamyoke/internal/entry"
	"balsamyoke.example/balsamyoke/internal/manifest"
	"balsamyoke.example/balsamyoke/internal/settings"
)

func parse(c *qt.C, deployment string) *manifest.Index {
	file := filepath.Join(deployment, "manifest.json")
	data, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	m, err := manifest.Parse(file, data)
	c.Assert(err, qt.IsNil)
	_, err = config.NewBundle(1, m)
	c.Assert(err, qt.IsNil)
	return manifest.NewIndex(m, 1)
}

func TestManifestsAreValid(t *testing.T) {
	for _, want := range []struct {
		deployment, model, plain string
		replicas, loads          int
		kinds                    map[string]bool // idempotent, by name
		key                      string
	}{{
		deployment: "ridgeline", model: "assistant", plain: "archive", replicas: 12, loads: 2,
		kinds: map[string]bool{"trace": true, "name-sheet": true, "browse": true, "checkout": false},
		key:   "ridgeline-alpena-boat-works-demo",
	}, {
		deployment: "nyirangabo", model: "drafting", plain: "booking", replicas: 20, loads: 3,
		kinds: map[string]bool{"draft": true, "check": true, "lookup": true, "book": false, "reserve": false},
		key:   "nyirangabo-rubavu-stoves-demo",
	}} {
		t.Run(want.deployment, func(t *testing.T) {
			c := qt.New(t)
			index := parse(c, want.deployment)
			c.Assert(index.Manifest().Organisations, qt.HasLen, 10)
			_, ok := index.OrganisationByKey(want.key)
			c.Assert(ok, qt.IsTrue)
			model, ok := index.Service(want.model)
			c.Assert(ok, qt.IsTrue)
			c.Assert(model.Replicas, qt.Equals, want.replicas)
			c.Assert(model.MaxConcurrentLoads, qt.Equals, want.loads)
			kinds := make(map[string]bool)
			for _, kind := range index.Manifest().Kinds {
				kinds[kind.Name] = kind.Idempotent
			}
			c.Assert(kinds, qt.DeepEquals, want.kinds)
		})
	}
}

func TestExampleManifestIsValid(t *testing.T) { parse(qt.New(t), "example") }

func TestSettingsAreValid(t *testing.T) {
	c := qt.New(t)
	entries, err := filepath.Glob("*/entry.json")
	c.Assert(err, qt.IsNil)
	c.Assert(entries, qt.HasLen, 2)
	for _, file := range entries {
		s := entry.DefaultSettings()
		decode(c, file, &s)
		c.Assert(s.Check(), qt.IsNil)
	}
	agents, err := filepath.Glob("*/agent-*.json")
	c.Assert(err, qt.IsNil)
	c.Assert(agents, qt.HasLen, 4)
	for _, file := range agents {
		s := agent.DefaultSettings()
		decode(c, file, &s)
		c.Assert(s.Check(), qt.IsNil)
	}
}

func decode(c *qt.C, file string, into any) {
	data, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Assert(settings.Decode(file, data, into), qt.IsNil)
}
