package memlist_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/platform"
	"balsamyoke.example/balsamyoke/internal/platform/memlist"
	"balsamyoke.example/balsamyoke/internal/platform/platformtest"
)

func TestContract(t *testing.T) {
	platformtest.TestList(t, func(*qt.C) platformtest.List {
		list := memlist.New(0)
		return platformtest.List{InstanceList: list, Source: list}
	})
}

func TestChangesLag(t *testing.T) {
	c := qt.New(t)
	list := memlist.New(time.Hour)
	list.Replace([]platform.Instance{{ID: "a"}})
	instances, err := list.Instances(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(instances, qt.HasLen, 0)
	c.Assert(list.SetState("a", platform.InstanceLeaving), qt.IsTrue)
}
