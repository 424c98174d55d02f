package listhttp_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"balsamyoke.example/balsamyoke/internal/metastore/listhttp"
	"balsamyoke.example/balsamyoke/internal/metastore/metastoretest"
	"balsamyoke.example/balsamyoke/internal/standin/listserver"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestContract(t *testing.T) {
	metastoretest.TestList(t, func(c *qt.C) metastoretest.List {
		server, err := listserver.Start(listserver.Settings{Listen: "127.0.0.1:0"})
		c.Assert(err, qt.IsNil)
		client := listhttp.New(server.Address())
		c.Cleanup(func() {
			client.Close()
			server.Stop()
		})
		return metastoretest.List{InstanceList: client, Source: server.List()}
	})
}
