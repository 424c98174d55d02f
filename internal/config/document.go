package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"

	"balsamyoke.example/balsamyoke/internal/manifest"
)

// maxDocumentBytes is below the service's limit of one megabyte per value.
const maxDocumentBytes = 900 << 10

// organisationChunks is the number of documents over which the organisations are distributed. A change
// of one organisation transfers the tree and one chunk; with 1,000 organisations and 64 chunks the two
// have about the same size.
const organisationChunks = 64

// Names of the documents.
const (
	deploymentDocument   = "deployment"
	servicesDocument     = "services"
	kindsDocument        = "kinds"
	organisationsPrefix  = "organisations/"
	organisationsPattern = organisationsPrefix + "%02d"
)

// DocumentRef references one content document of a tree.
type DocumentRef struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
}

// Tree lists the documents of one configuration, sorted by name.
type Tree struct {
	Documents []DocumentRef `json:"documents"`
}

// Bundle is a complete configuration, or a delta with only the documents that a process lacks.
type Bundle struct {
	Version uint64
	// Digest is the SHA-256 digest of Tree, in lower-case hex.
	Digest string
	Tree   []byte
	// Documents holds the content of the documents by digest.
	Documents map[string][]byte
}

// deploymentSettings is the content of the deployment document.
type deploymentSettings struct {
	Deployment      string `json:"deployment"`
	ClaimTTLSeconds int    `json:"claim_ttl_seconds"`
	GraceSeconds    int    `json:"grace_seconds"`
	PieceBytes      int    `json:"piece_bytes"`
}

// DigestOf returns the SHA-256 digest of a document in lower-case hex.
func DigestOf(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// NewBundle splits a manifest into documents. The result does not depend on the order of the
// organisations. It returns ErrInvalid when the manifest is invalid or a document is too large.
func NewBundle(version uint64, m *manifest.Manifest) (Bundle, error) {
	if err := manifest.Check(m); err != nil {
		return Bundle{}, ErrInvalid.Wrap(err, "manifest is invalid")
	}
	filled := manifest.NewIndex(m, version).Manifest()
	b := &builder{documents: make(map[string][]byte)}
	b.add(deploymentDocument, deploymentSettings{
		Deployment:      filled.Deployment,
		ClaimTTLSeconds: filled.ClaimTTLSeconds,
		GraceSeconds:    filled.GraceSeconds,
		PieceBytes:      filled.PieceBytes,
	})
	b.add(servicesDocument, filled.Services)
	b.add(kindsDocument, filled.Kinds)
	for chunk, organisations := range chunkOrganisations(filled.Organisations) {
		if len(organisations) > 0 {
			b.add(fmt.Sprintf(organisationsPattern, chunk), organisations)
		}
	}
	if b.err != nil {
		return Bundle{}, b.err
	}
	return b.bundle(version)
}

// builder collects the documents of a bundle.
type builder struct {
	refs      []DocumentRef
	documents map[string][]byte
	err       error
}

func (b *builder) add(name string, content any) {
	data, err := json.Marshal(content)
	if err != nil {
		b.err = ErrInvalid.Wrap(err, "document %q cannot be encoded", name)
		return
	}
	if len(data) > maxDocumentBytes {
		b.err = ErrInvalid.New("document %q has %d bytes, over the limit of %d", name, len(data), maxDocumentBytes)
		return
	}
	digest := DigestOf(data)
	b.refs = append(b.refs, DocumentRef{Name: name, Digest: digest})
	b.documents[digest] = data
}

func (b *builder) bundle(version uint64) (Bundle, error) {
	slices.SortFunc(b.refs, func(x, y DocumentRef) int { return strings.Compare(x.Name, y.Name) })
	tree, err := json.Marshal(Tree{Documents: b.refs})
	if err != nil {
		return Bundle{}, ErrInvalid.Wrap(err, "tree cannot be encoded")
	}
	return Bundle{
		Version:   version,
		Digest:    DigestOf(tree),
		Tree:      tree,
		Documents: b.documents,
	}, nil
}

// chunkOrganisations assigns organisations to chunks by name, sorted by name within a chunk.
func chunkOrganisations(organisations []manifest.Organisation) [organisationChunks][]manifest.Organisation {
	var chunks [organisationChunks][]manifest.Organisation
	sorted := slices.Clone(organisations)
	slices.SortFunc(sorted, func(a, b manifest.Organisation) int { return strings.Compare(a.Name, b.Name) })
	for _, organisation := range sorted {
		hash := fnv.New32a()
		hash.Write([]byte(organisation.Name))
		chunk := hash.Sum32() % organisationChunks
		chunks[chunk] = append(chunks[chunk], organisation)
	}
	return chunks
}

// decodeTree checks a tree against its digest and decodes it.
func decodeTree(digest string, data []byte) (Tree, error) {
	if got := DigestOf(data); got != digest {
		return Tree{}, ErrCorrupt.New("tree with expected digest %.12s has digest %.12s", digest, got)
	}
	var tree Tree
	if err := json.Unmarshal(data, &tree); err != nil {
		return Tree{}, ErrCorrupt.Wrap(err, "tree %.12s cannot be decoded", digest)
	}
	return tree, nil
}

// Manifest joins the documents of a complete bundle. It returns ErrIncomplete when documents are missing,
// ErrCorrupt when one does not match its digest and ErrInvalid when the joined manifest is invalid.
func (b Bundle) Manifest() (*manifest.Manifest, error) {
	tree, err := decodeTree(b.Digest, b.Tree)
	if err != nil {
		return nil, err
	}
	if missing := tree.missing(b.Documents); len(missing) > 0 {
		return nil, newIncomplete(missing)
	}
	m := &manifest.Manifest{}
	for _, ref := range tree.Documents {
		if err := join(m, ref, b.Documents[ref.Digest]); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(m.Organisations, func(x, y manifest.Organisation) int { return strings.Compare(x.Name, y.Name) })
	if err := manifest.Check(m); err != nil {
		return nil, ErrInvalid.Wrap(err, "configuration %.12s is invalid", b.Digest)
	}
	return m, nil
}

func (t Tree) missing(have map[string][]byte) []string {
	var digests []string
	for _, ref := range t.Documents {
		if _, ok := have[ref.Digest]; !ok {
			digests = append(digests, ref.Digest)
		}
	}
	return digests
}

// join decodes one document into m.
func join(m *manifest.Manifest, ref DocumentRef, content []byte) error {
	if got := DigestOf(content); got != ref.Digest {
		return ErrCorrupt.New("document %q has digest %.12s, expected %.12s", ref.Name, got, ref.Digest)
	}
	var err error
	switch {
	case ref.Name == deploymentDocument:
		err = joinSettings(m, content)
	case ref.Name == servicesDocument:
		err = json.Unmarshal(content, &m.Services)
	case ref.Name == kindsDocument:
		err = json.Unmarshal(content, &m.Kinds)
	case strings.HasPrefix(ref.Name, organisationsPrefix):
		var chunk []manifest.Organisation
		err = json.Unmarshal(content, &chunk)
		m.Organisations = append(m.Organisations, chunk...)
	}
	if err != nil {
		return ErrCorrupt.Wrap(err, "document %q cannot be decoded", ref.Name)
	}
	return nil
}

func joinSettings(m *manifest.Manifest, content []byte) error {
	var settings deploymentSettings
	if err := json.Unmarshal(content, &settings); err != nil {
		return err
	}
	m.Deployment = settings.Deployment
	m.ClaimTTLSeconds = settings.ClaimTTLSeconds
	m.GraceSeconds = settings.GraceSeconds
	m.PieceBytes = settings.PieceBytes
	return nil
}
