package agent

import (
	"balsamyoke.example/balsamyoke/internal/manifest"
	"balsamyoke.example/balsamyoke/internal/process"
	"balsamyoke.example/balsamyoke/internal/settings"
)

// Settings are the settings of balsam-agent.
type Settings struct {
	process.Settings

	// Service is the service of the backend server beside this agent.
	Service     string               `json:"service" long:"service" description:"service of the backend server beside this agent"`
	ServiceType manifest.ServiceType `json:"service_type" long:"service-type" description:"model or plain"`
	// Backend is the address of the backend server.
	Backend string `json:"backend" long:"backend" description:"ip:port of the backend server beside this agent"`
	// Slots is how many attempts the backend server runs at once.
	Slots int `json:"slots" long:"slots" description:"attempts that the backend server runs at once"`
	// PrefillUSPerToken and DecodeUSPerToken are the initial estimates of a run's work; later
	// runs correct them.
	PrefillUSPerToken int `json:"prefill_us_per_token" long:"prefill-us-per-token" description:"microseconds to compute a prompt token"`
	DecodeUSPerToken  int `json:"decode_us_per_token" long:"decode-us-per-token" description:"microseconds to generate a token"`
	// PlainWorkMS is the estimated duration of a call to a plain service, in milliseconds.
	PlainWorkMS int `json:"plain_work_ms" long:"plain-work-ms" description:"estimated milliseconds of a call to a plain service"`
	// LinkBytesPerSecond is the part of the bandwidth of the link to the stores that the agent may use.
	LinkBytesPerSecond int `json:"link_bytes_per_second" long:"link-bytes-per-second" description:"bytes per second to and from stores"`
}

// DefaultSettings returns the defaults, which a settings file or flags may override.
func DefaultSettings() Settings {
	return Settings{
		ServiceType:        manifest.ServiceModel,
		Slots:              8,
		PrefillUSPerToken:  125,
		DecodeUSPerToken:   20000,
		PlainWorkMS:        20,
		LinkBytesPerSecond: 125_000_000,
	}
}

// Check returns an error for the first invalid setting.
func (s *Settings) Check() error {
	if err := s.Settings.Check(); err != nil {
		return err
	}
	if err := settings.CheckName("service", s.Service); err != nil {
		return err
	}
	if err := settings.CheckAddress("backend", s.Backend); err != nil {
		return err
	}
	if s.ServiceType != manifest.ServiceModel && s.ServiceType != manifest.ServicePlain {
		return settings.ErrValue.New("setting %q: %q is neither %q nor %q", "service_type", s.ServiceType, manifest.ServiceModel, manifest.ServicePlain)
	}
	if err := settings.CheckAtLeast("link_bytes_per_second", s.LinkBytesPerSecond, 1); err != nil {
		return err
	}
	return settings.CheckAtLeast("slots", s.Slots, 1)
}
