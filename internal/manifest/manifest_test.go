package manifest

import (
	"encoding/json"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/manifest/manifesttest"
)

const validManifest = `// a small deployment
{
  "deployment": "test",
  "organisations": [
    {"name": "north", "key_digests": ["` + digestA + `"]},
    {"name": "south", "key_digests": ["` + digestB + `"], "share": 3, "services": ["archive"]},
  ],
  "services": [
    {"name": "assistant", "type": "model", "weight_version": "w1", "replicas": 3},
    {"name": "archive", "type": "plain"},
  ],
  "kinds": [
    {"name": "trace", "service": "assistant", "urgency": "urgent", "idempotent": true, "deadline_ms": 850},
    {"name": "browse", "service": "archive", "urgency": "urgent", "idempotent": true, "deadline_ms": 500},
    {"name": "checkout", "service": "archive", "urgency": "urgent", "idempotent": false, "deadline_ms": 900},
  ],
}
`

// Digests of the keys "a" and "b".
const (
	digestA = "ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb"
	digestB = "3e23e8160039594a33894f6564e1b1348bbd7a0088d42c4acb73eeaed59c009d"
)

func TestParseFillsDefaults(t *testing.T) {
	c := qt.New(t)
	m, err := Parse("m.json", []byte(validManifest))
	c.Assert(err, qt.IsNil)
	c.Assert(m.ClaimTTLSeconds, qt.Equals, 86400)
	c.Assert(m.GraceSeconds, qt.Equals, 30)
	c.Assert(m.PieceBytes, qt.Equals, 4096)
	c.Assert(m.Organisations[0].Share, qt.Equals, 1.0)
	c.Assert(m.Organisations[1].Share, qt.Equals, 3.0)
	c.Assert(m.Services[0].MaxConcurrentLoads, qt.Equals, 1)
	c.Assert(m.Services[1].MaxConcurrentLoads, qt.Equals, 0)
}

func TestParseReportsEveryFault(t *testing.T) {
	for _, test := range []struct {
		about, old, new string
		want            []string
	}{{
		about: "unknown field",
		old:   `"share": 3`, new: `"shares": 3`,
		want: []string{`m.json:6: organisations[1].shares: field "shares" does not exist`},
	}, {
		about: "case of a field",
		old:   `"share": 3`, new: `"Share": 3`,
		want: []string{`m.json:6: organisations[1].Share: field "Share" does not exist`},
	}, {
		about: "syntax",
		old:   `"share": 3`, new: `"share": `,
		want: []string{`m.json:6: .*`},
	}, {
		about: "missing field",
		old:   `"idempotent": true, "deadline_ms": 850`, new: `"deadline_ms": 850`,
		want: []string{`m.json:13: kinds\[0\]: field "idempotent" is missing`},
	}, {
		about: "field given twice",
		old:   `"share": 3`, new: `"share": 3, "share": 4`,
		want: []string{`m.json:6: organisations[1].share: field "share" is given twice`},
	}, {
		about: "share 0",
		old:   `"share": 3`, new: `"share": 0`,
		want: []string{`m.json:6: organisations\[1\].share: .*`},
	}, {
		about: "deadline 0",
		old:   `"deadline_ms": 850`, new: `"deadline_ms": 0`,
		want: []string{`m.json:13: kinds\[0\].deadline_ms: .*`},
	}, {
		about: "fraction instead of an integer",
		old:   `"replicas": 3`, new: `"replicas": 3.0`,
		want: []string{`m.json:9: services.replicas: .*`},
	}, {
		about: "concurrent loads 0",
		old:   `"replicas": 3`, new: `"max_concurrent_loads": 0`,
		want: []string{`m.json:9: services\[0\].max_concurrent_loads: .*`},
	}, {
		about: "no weight version",
		old:   `"weight_version": "w1", `, new: ``,
		want: []string{`m.json:9: services[0]: model service "assistant" has no weight_version`},
	}, {
		about: "weight version of a plain service",
		old:   `"type": "plain"`, new: `"type": "plain", "weight_version": "w1"`,
		want: []string{`m.json:10: services[1].weight_version: plain service "archive" cannot have a weight_version`},
	}, {
		about: "shared key",
		old:   digestB, new: digestA,
		want: []string{`m.json:6: organisations[1].key_digests[0]: key digest is already used by organisation "north"`},
	}, {
		about: "malformed digest",
		old:   digestB, new: strings.ToUpper(digestB),
		want: []string{`m.json:6: organisations\[1\].key_digests\[0\]: .*`},
	}, {
		about: "kind of a service that does not exist",
		old:   `{"name": "checkout", "service": "archive"`, new: `{"name": "browse", "service": "ledger"`,
		want: []string{
			`m.json:15: kinds[2].service: service "ledger" does not exist`,
		},
	}, {
		about: "references to a renamed service",
		old:   `{"name": "archive", "type": "plain"}`, new: `{"name": "ledger", "type": "plain"}`,
		want: []string{
			`m.json:6: organisations[1].services[0]: service "archive" does not exist`,
			`m.json:14: kinds[1].service: service "archive" does not exist`,
			`m.json:15: kinds[2].service: service "archive" does not exist`,
		},
	}, {
		about: "idempotency keys accepted for longer than claims last",
		old:   `"deployment": "test",`, new: `"deployment": "test", "claim_ttl_seconds": 86401,`,
		want: []string{`m.json:3: claim_ttl_seconds: .*`},
	}, {
		about: "names defined twice",
		old:   `"name": "south"`, new: `"name": "north"`,
		want: []string{`m.json:6: organisations[1].name: organisation "north" is defined twice`},
	}} {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(strings.Count(validManifest, test.old) >= 1, qt.IsTrue)
			text := strings.Replace(validManifest, test.old, test.new, 1)
			_, err := Parse("m.json", []byte(text))
			c.Assert(err, qt.IsNotNil)
			problems := Problems(err)
			c.Assert(problems, qt.HasLen, len(test.want), qt.Commentf("%v", err))
			for i, want := range test.want {
				got := problems[i].String()
				if got != want {
					c.Assert(got, qt.Matches, want)
				}
			}
		})
	}
}

// FuzzParse stopped making progress on numbers with huge exponents. Parse must refuse them before it validates
// the text against the schema.
func TestParseRefusesHugeExponentsAtOnce(t *testing.T) {
	for _, number := range []string{"1e99999999", "1E-99999999", strings.Repeat("9", 40)} {
		c := qt.New(t)
		_, err := Parse("m.json", []byte(`{"deployment": `+number+`}`))
		c.Assert(err, qt.ErrorMatches, `.*m.json:1: deployment: number is out of range`)
	}
}

func TestCheckReportsFaultsOfAParsedManifest(t *testing.T) {
	c := qt.New(t)
	m, err := Parse("m.json", []byte(validManifest))
	c.Assert(err, qt.IsNil)
	c.Assert(Check(m), qt.IsNil)
	m.Kinds[0].Service = "none"
	c.Assert(Check(m), qt.ErrorMatches, `.*kinds\[0\].service: service "none" does not exist`)
}

func TestIndex(t *testing.T) {
	c := qt.New(t)
	m, err := Parse("m.json", []byte(validManifest))
	c.Assert(err, qt.IsNil)
	ix := NewIndex(m, 7)
	m.Organisations[0].Name = "changed"
	c.Assert(ix.Version(), qt.Equals, uint64(7))

	organisation, ok := ix.OrganisationByKey("a")
	c.Assert(ok, qt.IsTrue)
	c.Assert(organisation.Name, qt.Equals, "north")
	_, ok = ix.OrganisationByKey("c")
	c.Assert(ok, qt.IsFalse)
	c.Assert(manifesttest.KeyDigest("a"), qt.Equals, digestA)

	kind, ok := ix.DefaultKind("archive")
	c.Assert(ok, qt.IsTrue)
	c.Assert(kind.Name, qt.Equals, "browse")
	kind, ok = ix.Kind("archive", "checkout")
	c.Assert(ok, qt.IsTrue)
	c.Assert(kind.Idempotent, qt.IsFalse)
	_, ok = ix.Kind("assistant", "checkout")
	c.Assert(ok, qt.IsFalse)

	c.Assert(ix.Allowed("north", "assistant"), qt.IsTrue)
	c.Assert(ix.Allowed("south", "assistant"), qt.IsFalse)
	c.Assert(ix.Allowed("south", "archive"), qt.IsTrue)
	c.Assert(ix.Allowed("north", "none"), qt.IsFalse)
	c.Assert(ix.Allowed("none", "archive"), qt.IsFalse)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validManifest))
	f.Add([]byte(`{"deployment": "x", "organisations": [], "services": [], "kinds": []}`))
	f.Add([]byte(`{"deployment": 1e999999}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Parse("fuzz.json", data)
		if err != nil {
			if len(Problems(err)) == 0 {
				t.Fatalf("error without problems: %v", err)
			}
			return
		}
		if err := Check(m); err != nil {
			t.Fatalf("parsed manifest fails its own check: %v", err)
		}
		text, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse("again.json", text); err != nil {
			t.Fatalf("marshalled manifest is refused: %v", err)
		}
		NewIndex(m, 1)
	})
}
