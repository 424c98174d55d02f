package process

import "balsamyoke.example/balsamyoke/internal/settings"

// Identity identifies a process and its place in the deployment, as its settings define it.
type Identity struct {
	Instance      string `json:"instance" long:"instance" description:"name of this instance"`
	Region        string `json:"region" long:"region" description:"region of this instance"`
	FailureDomain string `json:"failure_domain" long:"failure-domain" description:"failure domain of this instance"`
}

// Settings are the settings that entries and agents share.
type Settings struct {
	Identity

	Listen       string `json:"listen" long:"listen" description:"ip:port to listen on: for callers at an entry, for frames and probes at an agent"`
	Control      string `json:"control" long:"control" description:"ip:port for control calls"`
	Metrics      string `json:"metrics" long:"metrics" description:"ip:port for metrics and dump over HTTP"`
	KV           string `json:"kv" long:"kv" description:"ip:port of the platform's key-value service"`
	InstanceList string `json:"instance_list" long:"instance-list" description:"ip:port of the platform's instance list"`
	// GraceSeconds limits how long streams and runs may take to finish after a stop is requested; 0 uses the
	// limit in the manifest.
	GraceSeconds int `json:"grace_seconds" long:"grace-seconds" description:"seconds that streams and runs may take to finish after SIGTERM; 0 uses the manifest's value"`
}

// Check returns an error for the first invalid setting.
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
