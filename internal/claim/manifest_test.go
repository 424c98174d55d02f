package claim

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"balsamyoke.example/balsamyoke/internal/manifest"
)

// TestManifestCannotAskForMoreThanClaimsLast keeps the manifest's bound equal to the life of claims.
func TestManifestCannotAskForMoreThanClaimsLast(t *testing.T) {
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
