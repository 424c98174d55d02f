// Package load generates open-loop load: it sends the requests of a deployment to a fleet at a fixed rate,
// whether or not the fleet keeps up, and checks every response. cmd/balsam-load and the measurements run it.
package load

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math"

	"balsamyoke.example/balsamyoke/internal/manifest"
)

// weightVersion is the weight version of the profiles' model services.
const weightVersion = "v1"

// Kind is a kind of request with the shape of its prompts.
type Kind struct {
	manifest.Kind
	// Model reports whether the service is a model service.
	Model bool
	// Share is the part of all requests that are of this kind.
	Share float64
	// SharedTokens is the length of the organisation's document at the start of the prompt.
	SharedTokens int
	// OpeningTokens is the length of a conversation's first message, TurnTokens that of each later one.
	OpeningTokens, TurnTokens int
	// ReturnShare is the part of requests that continue a conversation when one is due.
	ReturnShare float64
}

// Profile is the workload of a deployment.
type Profile struct {
	Name          string
	Domains       []string
	Organisations []string
	// Skew is the exponent of the organisations' Zipf distribution.
	Skew     float64
	Services []manifest.Service
	Kinds    []Kind
}

// Ridgeline returns the profile of an archive of wiring diagrams: traces and sheet names from an assistant,
// browsing and checkouts from an archive.
func Ridgeline() Profile {
	return Profile{
		Name:          "ridgeline",
		Domains:       []string{"erie", "huron", "ontario", "superior"},
		Organisations: names("shop"),
		Skew:          1.1,
		Services: []manifest.Service{
			{Name: "assistant", Type: manifest.ServiceModel, WeightVersion: weightVersion, MaxConcurrentLoads: 2},
			{Name: "archive", Type: manifest.ServicePlain},
		},
		Kinds: []Kind{
			{
				Kind:  manifest.Kind{Name: "trace", Service: "assistant", Urgency: manifest.Urgent, Idempotent: true, DeadlineMS: 10000, MaxTokens: 64},
				Model: true, Share: 0.4, SharedTokens: 2000, OpeningTokens: 3000, TurnTokens: 300, ReturnShare: 0.7,
			},
			{
				Kind:  manifest.Kind{Name: "name-sheet", Service: "assistant", Urgency: manifest.Urgent, Idempotent: true, DeadlineMS: 5000, MaxTokens: 16},
				Model: true, Share: 0.2, OpeningTokens: 200, TurnTokens: 100, ReturnShare: 0.2,
			},
			{
				Kind:  manifest.Kind{Name: "browse", Service: "archive", Urgency: manifest.Urgent, Idempotent: true, DeadlineMS: 3000},
				Share: 0.3,
			},
			{
				Kind:  manifest.Kind{Name: "checkout", Service: "archive", Urgency: manifest.Urgent, Idempotent: false, DeadlineMS: 3000},
				Share: 0.1,
			},
		},
	}
}

// Nyirangabo returns the profile of a business that quotes chimney liners: long drafts and short checks from
// a drafting service, look-ups and bookings from a booking service.
func Nyirangabo() Profile {
	return Profile{
		Name:          "nyirangabo",
		Domains:       []string{"gasabo", "kicukiro", "nyarugenge"},
		Organisations: names("installer"),
		Skew:          1.1,
		Services: []manifest.Service{
			{Name: "drafting", Type: manifest.ServiceModel, WeightVersion: weightVersion, MaxConcurrentLoads: 3},
			{Name: "booking", Type: manifest.ServicePlain},
		},
		Kinds: []Kind{
			{
				Kind:  manifest.Kind{Name: "draft", Service: "drafting", Urgency: manifest.Patient, Idempotent: true, DeadlineMS: 30000, MaxTokens: 64},
				Model: true, Share: 0.4, SharedTokens: 3000, OpeningTokens: 4000, TurnTokens: 500, ReturnShare: 0.7,
			},
			{
				Kind:  manifest.Kind{Name: "check", Service: "drafting", Urgency: manifest.Urgent, Idempotent: true, DeadlineMS: 5000, MaxTokens: 16},
				Model: true, Share: 0.2, OpeningTokens: 200, TurnTokens: 100, ReturnShare: 0.2,
			},
			{
				Kind:  manifest.Kind{Name: "lookup", Service: "booking", Urgency: manifest.Urgent, Idempotent: true, DeadlineMS: 3000},
				Share: 0.3,
			},
			{
				Kind:  manifest.Kind{Name: "book", Service: "booking", Urgency: manifest.Urgent, Idempotent: false, DeadlineMS: 3000},
				Share: 0.1,
			},
		},
	}
}

// ByName returns the profile with the given name, or ErrSettings when there is none.
func ByName(name string) (Profile, error) {
	for _, p := range []Profile{Ridgeline(), Nyirangabo()} {
		if p.Name == name {
			return p, nil
		}
	}
	return Profile{}, ErrSettings.New("profile %q is neither ridgeline nor nyirangabo", name)
}

// organisationCount is the number of organisations of each deployment.
const organisationCount = 10

func names(prefix string) []string {
	var all []string
	for i := range organisationCount {
		all = append(all, fmt.Sprintf("%s-%d", prefix, i))
	}
	return all
}

// BearerKey returns the bearer key with which requests of an organisation are sent.
func BearerKey(organisation string) string { return organisation + "-load" }

// Manifest returns the configuration that the profile needs.
func (p Profile) Manifest() *manifest.Manifest {
	m := &manifest.Manifest{Deployment: p.Name, Services: p.Services}
	for _, name := range p.Organisations {
		digest := sha256.Sum256([]byte(BearerKey(name)))
		m.Organisations = append(m.Organisations, manifest.Organisation{
			Name:       name,
			KeyDigests: []string{hex.EncodeToString(digest[:])},
		})
	}
	for _, kind := range p.Kinds {
		m.Kinds = append(m.Kinds, kind.Kind)
	}
	return m
}

// MeanPromptTokens returns the mean number of prompt tokens of a request, over all kinds, when a
// conversation has meanTurns turns before a request.
func (p Profile) MeanPromptTokens(meanTurns float64) float64 {
	total := 0.0
	for _, kind := range p.Kinds {
		if kind.Model {
			total += kind.Share * (float64(kind.SharedTokens+kind.OpeningTokens) + kind.ReturnShare*meanTurns*float64(kind.TurnTokens))
		}
	}
	return total
}

// organisationShares returns each organisation's share of the requests.
func (p Profile) organisationShares() []float64 {
	shares := make([]float64, len(p.Organisations))
	total := 0.0
	for i := range shares {
		shares[i] = 1 / math.Pow(float64(i+1), p.Skew)
		total += shares[i]
	}
	for i := range shares {
		shares[i] /= total
	}
	return shares
}

// WriteManifest writes the configuration that the profile needs as JSON.
func WriteManifest(w io.Writer, p Profile) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(p.Manifest()); err != nil {
		return ErrReport.Wrap(err, "manifest of %s", p.Name)
	}
	return nil
}
