// Package bundle defines bundles: the declaration of models, adapters and
// settings that operators keep in version control, sign and roll out.
package bundle

import (
	"bytes"
	"fmt"

	"go.yaml.in/yaml/v3"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/pkg/document"
)

// FormatVersion is the format that this package reads and writes.
const FormatVersion = 1

// Favour selects what the distribution of weights optimises for.
type Favour string

// The values of Favour.
const (
	// FavourTime minimises the time until a model is live on N replicas. Up to
	// about three copies may be fetched from the origin.
	FavourTime Favour = "Time"
	// FavourOriginBytes minimises the bytes fetched from the origin, to one
	// copy.
	FavourOriginBytes Favour = "OriginBytes"
)

// PoolKind is the kind of backend servers in a pool.
type PoolKind string

// The kinds of pools.
const (
	KindModelEngine  PoolKind = "ModelEngine"
	KindPlainService PoolKind = "PlainService"
)

// Bundle is one version of the declaration.
type Bundle struct {
	// Format is always FormatVersion.
	Format int `yaml:"Format"`
	// Version is the version of the parent plus one.
	Version uint64 `yaml:"Version"`
	// Parent is the previous bundle. It is zero for the first bundle.
	Parent Parent `yaml:"Parent"`
	// SignOffs is the number of different operators that must sign this bundle.
	// Processes require at least the number in their own settings as well.
	SignOffs      int            `yaml:"SignOffs"`
	Favour        Favour         `yaml:"Favour"`
	Pools         []Pool         `yaml:"Pools"`
	Models        []Model        `yaml:"Models"`
	Services      []Service      `yaml:"Services"`
	Organisations []Organisation `yaml:"Organisations"`
}

// Parent identifies the previous version of a bundle.
type Parent struct {
	Version uint64              `yaml:"Version"`
	Digest  filbertlever.Digest `yaml:"Digest"`
}

// Pool is a set of equivalent backend servers. The platform's host list states
// the pool of each host.
type Pool struct {
	Name string   `yaml:"Name"`
	Kind PoolKind `yaml:"Kind"`
	// ChecksFencing is true if the pool's engines reject orders with an outdated
	// fencing number.
	ChecksFencing bool `yaml:"ChecksFencing,omitempty"`
	// Concurrency is the maximum number of requests that a backend server runs
	// at the same time.
	Concurrency int `yaml:"Concurrency"`
	// Queue is the maximum number of requests that wait at a backend server.
	Queue int `yaml:"Queue"`
}

// Model is a model that every host of a pool serves.
type Model struct {
	Name    string `yaml:"Name"`
	Version string `yaml:"Version"`
	Pool    string `yaml:"Pool"`
	// Manifest is the digest of the manifest of the model's weights.
	Manifest filbertlever.Digest `yaml:"Manifest"`
	Adapters []Adapter           `yaml:"Adapters,omitempty"`
	Engine   Engine              `yaml:"Engine"`
}

// Adapter is a small set of weights on top of a model.
type Adapter struct {
	Name     string              `yaml:"Name"`
	Version  string              `yaml:"Version"`
	Manifest filbertlever.Digest `yaml:"Manifest"`
}

// Engine holds settings that a model engine receives with the request to load a
// model.
type Engine struct {
	MaxBatch int    `yaml:"MaxBatch"`
	Role     string `yaml:"Role,omitempty"`
}

// Service is a plain service that the system routes to.
type Service struct {
	Name  string `yaml:"Name"`
	Pool  string `yaml:"Pool"`
	Calls []Call `yaml:"Calls"`
}

// Call is one call of a plain service.
type Call struct {
	Name string `yaml:"Name"`
	// Repeatable is true if the call is idempotent, so that it may be retried.
	Repeatable bool `yaml:"Repeatable"`
}

// Organisation is an organisation whose callers may use the system.
type Organisation struct {
	Name filbertlever.OrganisationID `yaml:"Name"`
	// TokenDigests are the SHA-256 digests of its tokens. The tokens themselves
	// are never stored.
	TokenDigests []filbertlever.Digest `yaml:"TokenDigests"`
	// Weight is its relative share where requests of several organisations
	// queue.
	Weight int `yaml:"Weight"`
	// MaxConcurrent is the maximum number of requests that it may have in flight
	// at one entry.
	MaxConcurrent int `yaml:"MaxConcurrent"`
}

// Parse decodes and validates a bundle. The error lists every fault.
func Parse(data []byte) (*Bundle, error) {
	var b Bundle
	check := document.Decode(data, &b)
	if !check.Parsed() {
		return nil, check.Err()
	}
	b.check(check)
	if err := check.Err(); err != nil {
		return nil, err
	}
	return &b, nil
}

// Encode returns the bundle as YAML.
func (b *Bundle) Encode() ([]byte, error) {
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(2)
	if err := encoder.Encode(b); err != nil {
		return nil, fmt.Errorf("encode bundle %d: %w", b.Version, err)
	}
	return out.Bytes(), nil
}

// Pool returns the pool with the given name.
func (b *Bundle) Pool(name string) (Pool, bool) {
	for _, pool := range b.Pools {
		if pool.Name == name {
			return pool, true
		}
	}
	return Pool{}, false
}

// Model returns the model with the given name.
func (b *Bundle) Model(name string) (Model, bool) {
	for _, model := range b.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}

// Adapter returns the adapter of the model with the given name.
func (m Model) Adapter(name string) (Adapter, bool) {
	for _, adapter := range m.Adapters {
		if adapter.Name == name {
			return adapter, true
		}
	}
	return Adapter{}, false
}

// Call returns a plain service and its call with the given names.
func (b *Bundle) Call(service, call string) (Service, Call, bool) {
	for _, s := range b.Services {
		if s.Name != service {
			continue
		}
		for _, c := range s.Calls {
			if c.Name == call {
				return s, c, true
			}
		}
	}
	return Service{}, Call{}, false
}

// PoolModels returns the models that every host of a pool serves.
func (b *Bundle) PoolModels(pool string) []Model {
	var models []Model
	for _, model := range b.Models {
		if model.Pool == pool {
			models = append(models, model)
		}
	}
	return models
}
