package agent

import (
	"balsamyoke.example/balsamyoke/internal/manifest"
	"balsamyoke.example/balsamyoke/internal/process"
	"balsamyoke.example/balsamyoke/internal/settings"
)

// Settings of balsam-agent.
type Settings struct {
	process.Identity

	Listen       string `json:"listen" long:"listen" description:"ip:port for frames (TCP) and probes (UDP)"`
	Control      string `json:"control" long:"control" description:"ip:port for control calls"`
	Metrics      string `json:"metrics" long:"metrics" description:"ip:port for metrics and dump over HTTP"`
	KV           string `json:"kv" long:"kv" description:"ip:port of the platform's key-value service"`
	InstanceList string `json:"instance_list" long:"instance-list" description:"ip:port of the platform's instance list"`
	// Service is the service of the backend server beside this agent.
	Service     string               `json:"service" long:"service" description:"service of the backend server beside this agent"`
	ServiceType manifest.ServiceType `json:"service_type" long:"service-type" description:"model or plain"`
	// Backend is the address of the backend server.
	Backend string `json:"backend" long:"backend" description:"ip:port of the backend server beside this agent"`
	// Slots is how many attempts the backend server runs at once.
	Slots int `json:"slots" long:"slots" description:"attempts that the backend server runs at once"`
	// PrefillMicrosPerToken and DecodeMicrosPerToken estimate the work of a run; later runs correct them.
	PrefillMicrosPerToken int `json:"prefill_us_per_token" long:"prefill-us-per-token" description:"microseconds to compute a prompt token"`
	DecodeMicrosPerToken  int `json:"decode_us_per_token" long:"decode-us-per-token" description:"microseconds to generate a token"`
	// PlainWorkMillis estimates the work of a call to a plain service.
	PlainWorkMillis int `json:"plain_work_ms" long:"plain-work-ms" description:"milliseconds of a call to a plain service"`
	// LinkBytesPerSecond is the share of the link to the stores that the agent may use.
	LinkBytesPerSecond int `json:"link_bytes_per_second" long:"link-bytes-per-second" description:"bytes a second to and from stores"`
	GraceSeconds       int `json:"grace_seconds" long:"grace-seconds" description:"seconds that runs may finish after SIGTERM"`
}

// DefaultSettings returns the settings that a file or flags override.
func DefaultSettings() Settings {
	return Settings{
		ServiceType:           manifest.ServiceModel,
		Slots:                 8,
		PrefillMicrosPerToken: 125,
		DecodeMicrosPerToken:  20000,
		PlainWorkMillis:       20,
		LinkBytesPerSecond:    125_000_000,
		GraceSeconds:          30,
	}
}

// Check returns an error for the first setting that can't be used.
func (s *Settings) Check() error {
	for _, name := range []struct{ setting, value string }{
		{"instance", s.Instance}, {"failure_domain", s.FailureDomain}, {"service", s.Service},
	} {
		if err := settings.CheckName(name.setting, name.value); err != nil {
			return err
		}
	}
	for _, address := range []struct{ setting, value string }{
		{"listen", s.Listen}, {"control", s.Control}, {"metrics", s.Metrics},
		{"kv", s.KV}, {"instance_list", s.InstanceList}, {"backend", s.Backend},
	} {
		if err := settings.CheckAddress(address.setting, address.value); err != nil {
			return err
		}
	}
	if s.ServiceType != manifest.ServiceModel && s.ServiceType != manifest.ServicePlain {
		return settings.ErrValue.New("setting %q: %q is neither %q nor %q", "service_type", s.ServiceType, manifest.ServiceModel, manifest.ServicePlain)
	}
	if s.LinkBytesPerSecond < 1 {
		return settings.ErrValue.New("setting %q: %d is below 1", "link_bytes_per_second", s.LinkBytesPerSecond)
	}
	if s.Slots < 1 {
		return settings.ErrValue.New("setting %q: %d is below 1", "slots", s.Slots)
	}
	return nil
}
