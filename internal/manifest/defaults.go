package manifest

import "slices"

// Defaults of values that a manifest may omit.
const (
	defaultShare              = 1.0
	defaultMaxConcurrentLoads = 1
	defaultClaimTTLSeconds    = 24 * 60 * 60
	defaultGraceSeconds       = 30
	defaultPieceBytes         = 4096
)

func (m *Manifest) setDefaults() {
	m.ClaimTTLSeconds = orDefault(m.ClaimTTLSeconds, defaultClaimTTLSeconds)
	m.GraceSeconds = orDefault(m.GraceSeconds, defaultGraceSeconds)
	m.PieceBytes = orDefault(m.PieceBytes, defaultPieceBytes)
	for i := range m.Organisations {
		m.Organisations[i].Share = orDefault(m.Organisations[i].Share, defaultShare)
	}
	for i := range m.Services {
		if m.Services[i].Type != ServiceModel {
			continue
		}
		m.Services[i].MaxConcurrentLoads = orDefault(m.Services[i].MaxConcurrentLoads, defaultMaxConcurrentLoads)
	}
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// clone returns a copy that setDefaults may change: the slices of structs are copied, the string slices in
// them are shared.
func (m *Manifest) clone() *Manifest {
	copied := *m
	copied.Organisations = slices.Clone(m.Organisations)
	copied.Services = slices.Clone(m.Services)
	copied.Kinds = slices.Clone(m.Kinds)
	return &copied
}
