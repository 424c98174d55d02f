package testbed_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/manifest"
	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/testbed"
)

func TestMain(m *testing.M) { os.Exit(testbed.Main(m)) }

func testManifest() *manifest.Manifest {
	digest := sha256.Sum256([]byte("ridge-key"))
	return &manifest.Manifest{
		Deployment:    "testbed",
		Organisations: []manifest.Organisation{{Name: "ridge", KeyDigests: []string{hex.EncodeToString(digest[:])}}},
		Services: []manifest.Service{
			{Name: "assistant", Type: manifest.ServiceModel, WeightVersion: "v1"},
			{Name: "archive", Type: manifest.ServicePlain},
		},
		Kinds: []manifest.Kind{
			{Name: "trace", Service: "assistant", Urgency: manifest.Urgent, Idempotent: true, DeadlineMS: 5000, MaxTokens: 16},
			{Name: "browse", Service: "archive", Urgency: manifest.Urgent, Idempotent: true, DeadlineMS: 3000},
		},
	}
}

func TestFleetStartsServesAndStops(t *testing.T) {
	c := qt.New(t)
	binaries, err := testbed.Binaries()
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	fleet, err := testbed.Start(ctx, testbed.Spec{
		Binaries:      binaries,
		Folder:        testbed.Folder(c),
		Region:        "lakes",
		Domains:       []string{"erie", "huron"},
		Manifest:      testManifest(),
		ModelReplicas: 2,
		PlainReplicas: 1,
		Stores:        1,
		Entries:       1,
	})
	c.Assert(err, qt.IsNil)
	defer fleet.Stop()
	c.Assert(fleet.Agents("assistant"), qt.HasLen, 2)
	c.Assert(fleet.Role(metastore.RoleEntry), qt.HasLen, 1)
	c.Assert(fleet.InDomain("huron"), qt.HasLen, 1)

	agent := fleet.Agents("archive")[0]
	agent.Process.Freeze()
	agent.Process.Thaw()
	c.Assert(agent.Process.Stop(), qt.IsNil)
	c.Assert(fleet.Restart(agent), qt.IsNil)
	agent.Backend.Kill()

	store := fleet.Role(metastore.RoleStore)[0]
	c.Assert(testbed.SetFaults(ctx, store.AdminAddress, testbed.Settings{"full": true}), qt.IsNil)
	c.Assert(testbed.SetFaults(ctx, fleet.KVAdminAddress, testbed.Settings{"down": true}), qt.IsNil)
	c.Assert(fleet.SetState(ctx, agent.ID, metastore.InstanceLeaving), qt.IsNil)
}
