package placement

// Names of the policies in the setting placement_policy.
const (
	PolicyCost          = "cost"
	PolicyTwoChoices    = "two-choices"
	PolicyRandom        = "random"
	PolicyRoundRobin    = "round-robin"
	PolicyLeastInFlight = "least-in-flight"
	PolicyRendezvous    = "rendezvous"
)

// Settings are the parameters of the policies.
type Settings struct {
	// RandomProbes is the number of random replicas that PolicyCost probes for each request.
	RandomProbes int `json:"random_probes,omitempty"`
	// HintedProbes is the maximum number of hinted holders that PolicyCost probes for each request.
	HintedProbes int `json:"hinted_probes,omitempty"`
	// PrefillUSPerToken is the prefill time per token in microseconds, for replicas that report none.
	PrefillUSPerToken uint32 `json:"prefill_us_per_token,omitempty"`
	// LinkTokenBytes is the number of link bytes that cost as much as one recomputed token for
	// patient requests.
	LinkTokenBytes float64 `json:"link_token_bytes,omitempty"`
}

// Default values of Settings.
const (
	defaultRandomProbes      = 2
	defaultHintedProbes      = 2
	defaultPrefillUSPerToken = 250
	defaultLinkTokenBytes    = 1 << 20
)

// withDefaults replaces unset values by the defaults.
func (s Settings) withDefaults() Settings {
	if s.RandomProbes <= 0 {
		s.RandomProbes = defaultRandomProbes
	}
	if s.HintedProbes <= 0 {
		s.HintedProbes = defaultHintedProbes
	}
	if s.PrefillUSPerToken == 0 {
		s.PrefillUSPerToken = defaultPrefillUSPerToken
	}
	if s.LinkTokenBytes <= 0 {
		s.LinkTokenBytes = defaultLinkTokenBytes
	}
	return s
}

// New returns the policy with the given name; an empty name means PolicyCost. It returns
// ErrUnknownPolicy for any other name.
func New(name string, settings Settings) (Policy, error) {
	settings = settings.withDefaults()
	switch name {
	case PolicyCost, "":
		return &costPolicy{settings: settings}, nil
	case PolicyTwoChoices:
		return &twoChoicesPolicy{}, nil
	case PolicyRandom:
		return &randomPolicy{}, nil
	case PolicyRoundRobin:
		return &roundRobinPolicy{}, nil
	case PolicyLeastInFlight:
		return &leastInFlightPolicy{}, nil
	case PolicyRendezvous:
		return &rendezvousPolicy{}, nil
	}
	return nil, ErrUnknownPolicy.New("placement policy %q does not exist", name)
}
