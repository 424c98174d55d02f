package manifest

import (
	"slices"
)

// check returns the semantic faults, in file order, of a manifest that satisfies the schema and has its
// defaults filled in.
func check(m *Manifest, text *source) []Problem {
	c := &checker{
		manifest: m,
		text:     text,
		services: make(map[string]*Service, len(m.Services)),
	}
	c.checkServices()
	c.checkOrganisations()
	c.checkKinds()
	c.checkLimits()
	slices.SortStableFunc(c.problems, func(a, b Problem) int { return a.Line - b.Line })
	return c.problems
}

type checker struct {
	manifest *Manifest
	text     *source
	services map[string]*Service
	problems []Problem
}

func (c *checker) addProblem(p path, format string, args ...any) {
	c.problems = append(c.problems, c.text.problem(p, format, args...))
}

func (c *checker) checkServices() {
	for i := range c.manifest.Services {
		service := &c.manifest.Services[i]
		at := path{"services", formatIndex(i)}
		if _, ok := c.services[service.Name]; ok {
			c.addProblem(at.with("name"), "service %q is defined twice", service.Name)
			continue
		}
		c.services[service.Name] = service
		c.checkService(service, at)
	}
}

func (c *checker) checkService(service *Service, at path) {
	switch service.Type {
	case ServiceModel:
		c.checkModelService(service, at)
	case ServicePlain:
		c.checkPlainService(service, at)
	default:
		c.addProblem(at.with("type"), "service type %q does not exist", service.Type)
	}
	if service.Replicas < 0 {
		c.addProblem(at.with("replicas"), "replicas %d is below 0", service.Replicas)
	}
}

func (c *checker) checkModelService(service *Service, at path) {
	if service.WeightVersion == "" {
		c.addProblem(at, "model service %q has no weight_version", service.Name)
	}
	if service.MaxConcurrentLoads < 1 {
		c.addProblem(at.with("max_concurrent_loads"), "max_concurrent_loads %d is below 1", service.MaxConcurrentLoads)
	}
	seen := make(map[string]bool, len(service.Adapters))
	for i, adapter := range service.Adapters {
		if seen[adapter] {
			c.addProblem(at.with("adapters", formatIndex(i)), "adapter %q is listed twice", adapter)
		}
		seen[adapter] = true
	}
}

func (c *checker) checkPlainService(service *Service, at path) {
	if service.WeightVersion != "" {
		c.addProblem(at.with("weight_version"), "plain service %q cannot have a weight_version", service.Name)
	}
	if len(service.Adapters) > 0 {
		c.addProblem(at.with("adapters"), "plain service %q cannot have adapters", service.Name)
	}
	if service.MaxConcurrentLoads > 1 {
		c.addProblem(at.with("max_concurrent_loads"), "plain service %q cannot have max_concurrent_loads above 1", service.Name)
	}
}

func (c *checker) checkOrganisations() {
	names := make(map[string]bool, len(c.manifest.Organisations))
	owners := make(map[string]string)
	for i := range c.manifest.Organisations {
		organisation := &c.manifest.Organisations[i]
		at := path{"organisations", formatIndex(i)}
		if names[organisation.Name] {
			c.addProblem(at.with("name"), "organisation %q is defined twice", organisation.Name)
		}
		names[organisation.Name] = true
		c.checkKeys(organisation, at, owners)
		c.checkOrganisation(organisation, at)
	}
}

func (c *checker) checkKeys(organisation *Organisation, at path, owners map[string]string) {
	for i, digest := range organisation.KeyDigests {
		field := at.with("key_digests", formatIndex(i))
		if !isDigest(digest) {
			c.addProblem(field, "key digest %q is not a SHA-256 digest in lower-case hex", digest)
			continue
		}
		if owner, ok := owners[digest]; ok {
			c.addProblem(field, "key digest is already used by organisation %q", owner)
			continue
		}
		owners[digest] = organisation.Name
	}
}

func (c *checker) checkOrganisation(organisation *Organisation, at path) {
	if organisation.Share <= 0 {
		c.addProblem(at.with("share"), "share %v is not above 0", organisation.Share)
	}
	if organisation.RequestsPerSecond < 0 {
		c.addProblem(at.with("requests_per_second"), "requests_per_second %v is below 0", organisation.RequestsPerSecond)
	}
	if organisation.TokensPerSecond < 0 {
		c.addProblem(at.with("tokens_per_second"), "tokens_per_second %v is below 0", organisation.TokensPerSecond)
	}
	for i, name := range organisation.Services {
		if c.services[name] == nil {
			c.addProblem(at.with("services", formatIndex(i)), "service %q does not exist", name)
		}
	}
}

func (c *checker) checkKinds() {
	type kindKey struct{ service, name string }
	seen := make(map[kindKey]bool, len(c.manifest.Kinds))
	for i := range c.manifest.Kinds {
		kind := &c.manifest.Kinds[i]
		at := path{"kinds", formatIndex(i)}
		key := kindKey{service: kind.Service, name: kind.Name}
		if seen[key] {
			c.addProblem(at.with("name"), "kind %q of service %q is defined twice", kind.Name, kind.Service)
		}
		seen[key] = true
		c.checkKind(kind, at)
	}
}

func (c *checker) checkKind(kind *Kind, at path) {
	service := c.services[kind.Service]
	if service == nil {
		c.addProblem(at.with("service"), "service %q does not exist", kind.Service)
	}
	if kind.DeadlineMS <= 0 {
		c.addProblem(at.with("deadline_ms"), "deadline_ms %d is not above 0", kind.DeadlineMS)
	}
	if kind.Urgency != Urgent && kind.Urgency != Patient {
		c.addProblem(at.with("urgency"), "urgency %q does not exist", kind.Urgency)
	}
	if service != nil && service.Type == ServicePlain && kind.MaxTokens > 0 {
		c.addProblem(at.with("max_tokens"), "kind %q of plain service %q cannot have max_tokens", kind.Name, kind.Service)
	}
}

func (c *checker) checkLimits() {
	if c.manifest.ClaimTTLSeconds <= 0 {
		c.addProblem(path{"claim_ttl_seconds"}, "claim_ttl_seconds %d is not above 0", c.manifest.ClaimTTLSeconds)
	}
	if c.manifest.GraceSeconds <= 0 {
		c.addProblem(path{"grace_seconds"}, "grace_seconds %d is not above 0", c.manifest.GraceSeconds)
	}
	if c.manifest.PieceBytes <= 0 {
		c.addProblem(path{"piece_bytes"}, "piece_bytes %d is not above 0", c.manifest.PieceBytes)
	}
}

func isDigest(digest string) bool {
	if len(digest) != digestHexLength {
		return false
	}
	for _, r := range digest {
		if (r < '0' || r > '9') && (r < 'a' || r > 'f') {
			return false
		}
	}
	return true
}
