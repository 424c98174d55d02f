package manifest

import (
	"crypto/sha256"
	"encoding/hex"
)

const digestHexLength = 2 * sha256.Size

// Digest is the SHA-256 digest of a bearer key.
type Digest [sha256.Size]byte

type kindName struct {
	service string
	kind    string
}

type grant struct {
	organisation string
	service      string
}

// Index provides lookups in a manifest for the request path. It is immutable; callers must not modify the
// values that its methods return.
type Index struct {
	version       uint64
	manifest      *Manifest
	byKeyDigest   map[Digest]*Organisation
	organisations map[string]*Organisation
	services      map[string]*Service
	kinds         map[kindName]*Kind
	defaultKinds  map[string]*Kind
	// grants contains the permitted services of those organisations that may not call all services.
	grants map[grant]struct{}
}

// NewIndex returns an Index of a copy of a valid manifest, with defaults filled in.
func NewIndex(m *Manifest, version uint64) *Index {
	ix := &Index{
		version:       version,
		manifest:      m.clone(),
		byKeyDigest:   make(map[Digest]*Organisation),
		organisations: make(map[string]*Organisation, len(m.Organisations)),
		services:      make(map[string]*Service, len(m.Services)),
		kinds:         make(map[kindName]*Kind, len(m.Kinds)),
		defaultKinds:  make(map[string]*Kind, len(m.Services)),
		grants:        make(map[grant]struct{}),
	}
	ix.manifest.setDefaults()
	for i := range ix.manifest.Organisations {
		ix.addOrganisation(&ix.manifest.Organisations[i])
	}
	for i := range ix.manifest.Services {
		service := &ix.manifest.Services[i]
		ix.services[service.Name] = service
	}
	for i := range ix.manifest.Kinds {
		ix.addKind(&ix.manifest.Kinds[i])
	}
	return ix
}

func (ix *Index) addOrganisation(organisation *Organisation) {
	ix.organisations[organisation.Name] = organisation
	for _, text := range organisation.KeyDigests {
		var digest Digest
		if n, err := hex.Decode(digest[:], []byte(text)); err != nil || n != len(digest) {
			continue
		}
		ix.byKeyDigest[digest] = organisation
	}
	for _, service := range organisation.Services {
		ix.grants[grant{organisation.Name, service}] = struct{}{}
	}
}

func (ix *Index) addKind(kind *Kind) {
	ix.kinds[kindName{kind.Service, kind.Name}] = kind
	if ix.defaultKinds[kind.Service] == nil {
		ix.defaultKinds[kind.Service] = kind
	}
}

// Version returns the configuration version that the index was built from.
func (ix *Index) Version() uint64 { return ix.version }

// Manifest returns the indexed manifest with defaults filled in.
func (ix *Index) Manifest() *Manifest { return ix.manifest }

// OrganisationByKey returns the organisation that a bearer key belongs to.
func (ix *Index) OrganisationByKey(key string) (*Organisation, bool) {
	organisation, ok := ix.byKeyDigest[Digest(sha256.Sum256([]byte(key)))]
	return organisation, ok
}

// Organisation returns the organisation with the given name.
func (ix *Index) Organisation(name string) (*Organisation, bool) {
	organisation, ok := ix.organisations[name]
	return organisation, ok
}

// Service returns the service with the given name.
func (ix *Index) Service(name string) (*Service, bool) {
	service, ok := ix.services[name]
	return service, ok
}

// Kind returns a kind of request of a service.
func (ix *Index) Kind(service, kind string) (*Kind, bool) {
	found, ok := ix.kinds[kindName{service, kind}]
	return found, ok
}

// DefaultKind returns the first listed kind of a service.
func (ix *Index) DefaultKind(service string) (*Kind, bool) {
	kind, ok := ix.defaultKinds[service]
	return kind, ok
}

// Allowed reports whether an organisation may call a service. It returns false when either does not exist.
func (ix *Index) Allowed(organisation, service string) bool {
	caller, ok := ix.organisations[organisation]
	if !ok {
		return false
	}
	if _, ok := ix.services[service]; !ok {
		return false
	}
	if len(caller.Services) == 0 {
		return true
	}
	_, ok = ix.grants[grant{organisation, service}]
	return ok
}
