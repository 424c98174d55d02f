package claim

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/manifest"
)

// If a manifest could configure a longer key lifetime than MaxTTL, keys would be refused before the
// configured lifetime ends. The manifest's schema has a copy of that bound, which must stay equal.
func TestManifestTTLBoundEqualsMaxTTL(t *testing.T) {
	c := qt.New(t)
	withTTL := func(seconds int) error {
		text := fmt.Sprintf(`{"deployment": "d", "organisations": [], "services": [], "kinds": [], "claim_ttl_seconds": %d}`, seconds)
		_, err := manifest.Parse("m.json", []byte(text))
		return err
	}
	longest := int(MaxTTL / time.Second)
	c.Assert(withTTL(longest), qt.IsNil)
	c.Assert(withTTL(longest+1), qt.ErrorMatches, `(?s).*claim_ttl_seconds.*`)
}
