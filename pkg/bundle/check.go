package bundle

import (
	"fmt"

	"github.com/filbertlever/filbertlever/pkg/document"
)

const expectedDigest = "expected sha256: and 64 hex digits"

func (b *Bundle) check(check *document.Checker) {
	check.Require(b.Format == FormatVersion, "Format", b.Format, fmt.Sprintf("expected %d", FormatVersion))
	check.Require(b.Version == b.Parent.Version+1, "Version", b.Version, "expected Parent.Version + 1")
	if b.Parent.Version > 0 {
		check.Require(b.Parent.Digest.Valid(), "Parent.Digest", b.Parent.Digest, expectedDigest)
	} else {
		check.Require(b.Parent.Digest == "", "Parent.Digest", b.Parent.Digest, "expected none: the first bundle has no parent")
	}
	check.Require(b.SignOffs >= 1, "SignOffs", b.SignOffs, "expected 1 or more")
	check.Require(b.Favour == FavourTime || b.Favour == FavourOriginBytes, "Favour", b.Favour, "expected Time or OriginBytes")
	b.checkPools(check)
	b.checkModels(check)
	b.checkServices(check)
	b.checkOrganisations(check)
}

func (b *Bundle) checkPools(check *document.Checker) {
	names := newNameChecker(check)
	for i, pool := range b.Pools {
		path := fmt.Sprintf("Pools[%d]", i)
		names.add(path+".Name", pool.Name)
		check.Require(pool.Kind == KindModelEngine || pool.Kind == KindPlainService, path+".Kind", pool.Kind, "expected ModelEngine or PlainService")
		check.Require(pool.Concurrency >= 1, path+".Concurrency", pool.Concurrency, "expected 1 or more")
		check.Require(pool.Queue >= 0, path+".Queue", pool.Queue, "expected 0 or more")
	}
}

func (b *Bundle) checkModels(check *document.Checker) {
	names := newNameChecker(check)
	for i, model := range b.Models {
		path := fmt.Sprintf("Models[%d]", i)
		names.add(path+".Name", model.Name)
		check.Require(model.Version != "", path+".Version", model.Version, "expected a version")
		b.checkPoolReference(check, path+".Pool", model.Pool, KindModelEngine)
		check.Require(model.Manifest.Valid(), path+".Manifest", model.Manifest, expectedDigest)
		check.Require(model.Engine.MaxBatch >= 0, path+".Engine.MaxBatch", model.Engine.MaxBatch, "expected 0 (engine's default) or more")
		adapters := newNameChecker(check)
		for j, adapter := range model.Adapters {
			path := fmt.Sprintf("%s.Adapters[%d]", path, j)
			adapters.add(path+".Name", adapter.Name)
			check.Require(adapter.Version != "", path+".Version", adapter.Version, "expected a version")
			check.Require(adapter.Manifest.Valid(), path+".Manifest", adapter.Manifest, expectedDigest)
		}
	}
}

func (b *Bundle) checkServices(check *document.Checker) {
	names := newNameChecker(check)
	for i, service := range b.Services {
		path := fmt.Sprintf("Services[%d]", i)
		names.add(path+".Name", service.Name)
		b.checkPoolReference(check, path+".Pool", service.Pool, KindPlainService)
		calls := newNameChecker(check)
		for j, call := range service.Calls {
			calls.add(fmt.Sprintf("%s.Calls[%d].Name", path, j), call.Name)
		}
	}
}

func (b *Bundle) checkOrganisations(check *document.Checker) {
	names := newNameChecker(check)
	tokens := newNameChecker(check)
	for i, organisation := range b.Organisations {
		path := fmt.Sprintf("Organisations[%d]", i)
		names.add(path+".Name", string(organisation.Name))
		check.Require(organisation.Weight >= 1, path+".Weight", organisation.Weight, "expected 1 or more")
		check.Require(organisation.MaxConcurrent >= 1, path+".MaxConcurrent", organisation.MaxConcurrent, "expected 1 or more")
		check.Require(len(organisation.TokenDigests) > 0, path+".TokenDigests", "", "expected at least one digest")
		for j, digest := range organisation.TokenDigests {
			path := fmt.Sprintf("%s.TokenDigests[%d]", path, j)
			check.Require(digest.Valid(), path, digest, expectedDigest)
			// If two organisations shared a token, each could read the other's
			// answers.
			tokens.add(path, string(digest))
		}
	}
}

// checkPoolReference requires that name is a pool of the given kind.
func (b *Bundle) checkPoolReference(check *document.Checker, path, name string, kind PoolKind) {
	pool, ok := b.Pool(name)
	if !ok {
		check.Fault(path, name, "expected the name of a pool in Pools")
		return
	}
	check.Require(pool.Kind == kind, path, name, fmt.Sprintf("expected a pool of kind %s", kind))
}

// nameChecker reports empty and duplicate names.
type nameChecker struct {
	check *document.Checker
	seen  map[string]bool
}

func newNameChecker(check *document.Checker) *nameChecker {
	return &nameChecker{check: check, seen: map[string]bool{}}
}

func (n *nameChecker) add(path, name string) {
	n.check.Require(name != "", path, name, "expected a name")
	n.check.Require(name == "" || !n.seen[name], path, name, "expected once only")
	n.seen[name] = true
}
