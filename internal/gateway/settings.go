package gateway

import (
	"time"

	"balsamyoke.example/balsamyoke/internal/dispatch"
	"balsamyoke.example/balsamyoke/internal/settings"
)

// Settings are the settings of a gateway. Reload applies only some of them.
type Settings struct {
	Instance      string `json:"instance" long:"instance" description:"name of this instance"`
	FailureDomain string `json:"failure_domain" long:"failure-domain" description:"failure domain of this instance"`
	// Listen, Ready, Control, Beats and Metrics are ip:port.
	Listen    string   `json:"listen" long:"listen" description:"ip:port for callers"`
	Ready     string   `json:"ready" long:"ready" description:"ip:port for readiness checks of the load balancer"`
	Control   string   `json:"control" long:"control" description:"ip:port for calls from other gateways and from balsamctl"`
	Beats     string   `json:"beats" long:"beats" description:"ip:port for heartbeats of other gateways, over UDP"`
	Metrics   string   `json:"metrics" long:"metrics" description:"ip:port for metrics and dump over HTTP"`
	Metastore string   `json:"metastore" long:"metastore" description:"ip:port of the metadata store"`
	Seeds     []string `json:"seeds" long:"seed" description:"control address of a gateway to contact at start; may be stale"`

	GraceMS int `json:"grace_ms" long:"grace-ms" description:"time from SIGTERM to SIGKILL, in milliseconds"`
	LeaseMS int `json:"lease_ms" long:"lease-ms" description:"TTL of the leader lease and minimum time between orders of two leaders, in milliseconds"`
	// ContactMS bounds how long connections may be silent unnoticed.
	ContactMS int `json:"contact_ms" long:"contact-ms" description:"time within which the gateway must have the newest state after a disruption, in milliseconds"`
	// RenewalMS tells registrations that expired in an outage of the metadata store from those of servers that left.
	RenewalMS  int     `json:"renewal_ms" long:"renewal-ms" description:"interval at which servers renew their registrations, in milliseconds; 0 if unknown"`
	RetryRatio float64 `json:"retry_ratio" long:"retry-ratio" description:"share of a service's requests that may be retried, over all gateways"`
	RetrySlack float64 `json:"retry_slack" long:"retry-slack" description:"additional retries allowed in each window, over all gateways"`
	// WeightsWithinMS is how long after a new target weight version is set requests may still start on older ones.
	WeightsWithinMS int `json:"weights_within_ms" long:"weights-within-ms" description:"time within which a target weight version must be in use everywhere, in milliseconds"`
	MemoryMB        int `json:"memory_mb" long:"memory-mb" description:"memory of the process, in megabytes"`
	// In any second a cold server gets at most ColdOverage x its service's rate + ColdSlack requests from all gateways together.
	ColdOverage float64 `json:"cold_overage" long:"cold-overage" description:"factor by which the requests to a cold server may exceed its rate in a second, over all gateways"`
	ColdSlack   float64 `json:"cold_slack" long:"cold-slack" description:"additional requests to a cold server in a second, over all gateways"`

	// ServerMemoryMB bounds the bytes of requests in flight to a server; 0 for no bound.
	ServerMemoryMB int `json:"server_memory_mb" long:"server-memory-mb" description:"memory of a backend server, in megabytes; 0 doesn't bound the bytes of requests in flight to it"`

	RetryWindowMS int `json:"retry_window_ms" long:"retry-window-ms" description:"window of the retry budget, in milliseconds"`
}

// DefaultSettings returns the defaults of the settings that need not be given.
func DefaultSettings() Settings {
	return Settings{GraceMS: 8000, LeaseMS: 3000, RetryRatio: 0.2, RetrySlack: 10, RetryWindowMS: 10000, WeightsWithinMS: 15000, MemoryMB: 128, ContactMS: 3000, RenewalMS: 1200, ColdOverage: 1}
}

// Check returns an error for the first invalid setting.
func (s *Settings) Check() error {
	for _, name := range []struct{ setting, value string }{
		{"instance", s.Instance}, {"failure_domain", s.FailureDomain},
	} {
		if err := settings.CheckName(name.setting, name.value); err != nil {
			return err
		}
	}
	for _, address := range []struct{ setting, value string }{
		{"listen", s.Listen}, {"ready", s.Ready}, {"control", s.Control}, {"beats", s.Beats},
		{"metrics", s.Metrics}, {"metastore", s.Metastore},
	} {
		if err := settings.CheckAddress(address.setting, address.value); err != nil {
			return err
		}
	}
	for _, seed := range s.Seeds {
		if err := settings.CheckAddress("seeds", seed); err != nil {
			return err
		}
	}
	for _, least := range []struct {
		setting      string
		value, least int
	}{{"grace_ms", s.GraceMS, 1}, {"lease_ms", s.LeaseMS, 1000}, {"retry_window_ms", s.RetryWindowMS, 1000}, {"weights_within_ms", s.WeightsWithinMS, 1000}, {"memory_mb", s.MemoryMB, 32}, {"server_memory_mb", s.ServerMemoryMB, 0}, {"contact_ms", s.ContactMS, 1500}, {"renewal_ms", s.RenewalMS, 0}} {
		if err := settings.CheckAtLeast(least.setting, least.value, least.least); err != nil {
			return err
		}
	}
	if s.RetryRatio < 0 || s.RetrySlack < 0 {
		return settings.ErrValue.New("settings %q and %q: %g and %g must not be negative", "retry_ratio", "retry_slack", s.RetryRatio, s.RetrySlack)
	}
	if s.ColdOverage < 0 || s.ColdSlack < 0 {
		return settings.ErrValue.New("settings %q and %q: %g and %g must not be negative", "cold_overage", "cold_slack", s.ColdOverage, s.ColdSlack)
	}
	return nil
}

// Memory returns the memory of the process, in bytes.
func (s *Settings) Memory() int64 { return int64(s.MemoryMB) * bytesPerMB }

// bytesPerMB converts a setting in megabytes.
const bytesPerMB = 1_000_000

func (s *Settings) grace() time.Duration { return time.Duration(s.GraceMS) * time.Millisecond }

func (s *Settings) budget() dispatch.BudgetConfig {
	return dispatch.BudgetConfig{
		Ratio: s.RetryRatio, Slack: s.RetrySlack, Gateways: 1,
		Window: time.Duration(s.RetryWindowMS) * time.Millisecond,
	}
}

func (s *Settings) cold() dispatch.ColdBounds {
	return dispatch.ColdBounds{Overage: s.ColdOverage, Slack: s.ColdSlack}
}

func (s *Settings) weightsWithin() time.Duration {
	return time.Duration(s.WeightsWithinMS) * time.Millisecond
}

func (s *Settings) contactTime() time.Duration { return time.Duration(s.ContactMS) * time.Millisecond }

func (s *Settings) renewalInterval() time.Duration {
	return time.Duration(s.RenewalMS) * time.Millisecond
}

func (s *Settings) lease() time.Duration { return time.Duration(s.LeaseMS) * time.Millisecond }
