package settings

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

type testSettings struct {
	Listen string `json:"listen" long:"listen"`
	Slots  int    `json:"slots" long:"slots"`
}

func writeSettings(c *qt.C, text string) string {
	name := filepath.Join(c.TempDir(), "sample.json")
	c.Assert(os.WriteFile(name, []byte(text), 0o600), qt.IsNil)
	return name
}

func TestFlagsOverrideTheFile(t *testing.T) {
	c := qt.New(t)
	name := writeSettings(c, `{ // comment
		"listen": "127.0.0.1:1", "slots": 3, }`)
	var got testSettings
	c.Assert(Load("sample", []string{"--settings", name, "--slots", "5"}, &got), qt.IsNil)
	c.Assert(got, qt.Equals, testSettings{Listen: "127.0.0.1:1", Slots: 5})
}

func TestErrorsNameTheFaultySetting(t *testing.T) {
	c := qt.New(t)
	var got testSettings
	err := Load("sample", []string{"--settings", writeSettings(c, `{"slot": 3}`)}, &got)
	c.Assert(err, qt.ErrorMatches, `settings.syntax: file ".*sample.json", cause: json: unknown field "slot"`)
	err = Load("sample", []string{"--settings", writeSettings(c, `{"slots": }`)}, &got)
	c.Assert(err, qt.ErrorMatches, `settings.syntax: file ".*", cause: .*line 1.*`)
	err = Load("sample", []string{"extra"}, &got)
	c.Assert(err, qt.ErrorMatches, `.*argument "extra" is not expected`)
	c.Assert(CheckAddress("listen", "host:1"), qt.ErrorMatches, `.*setting "listen": "host:1" is not ip:port`)
	c.Assert(CheckAddress("listen", "127.0.0.1:0"), qt.ErrorMatches, `.*has no port`)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"listen": "x", /* c */ "slots": 1,}`))
	f.Add([]byte(`{"slots": 1e999}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var got testSettings
		_ = Decode("fuzz", data, &got)
	})
}
