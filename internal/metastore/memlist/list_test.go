package memlist_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/metastore"
	"balsamyoke.example/balsamyoke/internal/metastore/memlist"
	"balsamyoke.example/balsamyoke/internal/metastore/metastoretest"
)

func TestContract(t *testing.T) {
	metastoretest.TestList(t, func(*qt.C) metastoretest.List {
		list := memlist.New(0)
		return metastoretest.List{InstanceList: list, Source: list}
	})
}

// Readers of a list with a lag must not get a change before the lag has passed.
func TestChangesLag(t *testing.T) {
	c := qt.New(t)
	list := memlist.New(time.Hour)
	list.Replace([]metastore.Instance{{ID: "a"}})
	instances, err := list.Instances(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(instances, qt.HasLen, 0)
	c.Assert(list.SetState("a", metastore.InstanceLeaving), qt.IsTrue)
}
