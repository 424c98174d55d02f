package process

import "balsamyoke.example/balsamyoke/internal/settings"

// Identity is what a process learns about itself from its settings.
type Identity struct {
	Instance      string `json:"instance" long:"instance" description:"name of this instance"`
	Region        string `json:"region" long:"region" description:"region of this instance"`
	FailureDomain string `json:"failure_domain" long:"failure-domain" description:"failure domain of this instance"`
}

// Settings are those that entries and agents have alike.
type Settings struct {
	Identity

	Listen       string `json:"listen" long:"listen" description:"ip:port to serve on: callers at an entry, frames and probes at an agent"`
	Control      string `json:"control" long:"control" description:"ip:port for control calls"`
	Metrics      string `json:"metrics" long:"metrics" description:"ip:port for metrics and dump over HTTP"`
	KV           string `json:"kv" long:"kv" description:"ip:port of the platform's key-value service"`
	InstanceList string `json:"instance_list" long:"instance-list" description:"ip:port of the platform's instance list"`
	// GraceSeconds bounds how long streams and runs may finish after a stop is asked for; 0 leaves it
	// to the manifest.
	GraceSeconds int `json:"grace_seconds" long:"grace-seconds" description:"seconds that streams and runs may finish after SIGTERM; 0: as the manifest says"`
}

// Check returns an error for the first setting that can't be used.
func (s *Settings) Check() error {
	for _, name := range []struct{ setting, value string }{
		{"instance", s.Instance}, {"region", s.Region}, {"failure_domain", s.FailureDomain},
	} {
		if err := settings.CheckName(name.setting, name.value); err != nil {
			return err
		}
	}
	for _, address := range []struct{ setting, value string }{
		{"listen", s.Listen}, {"control", s.Control}, {"metrics", s.Metrics},
		{"kv", s.KV}, {"instance_list", s.InstanceList},
	} {
		if err := settings.CheckAddress(address.setting, address.value); err != nil {
			return err
		}
	}
	return settings.CheckAtLeast("grace_seconds", s.GraceSeconds, 0)
}
