package bundle

import "github.com/filbertlever/filbertlever"

// Example returns a bundle that contains every section. Its digests are
// placeholders that operators replace.
func Example() *Bundle {
	return &Bundle{
		Format:   FormatVersion,
		Version:  1,
		SignOffs: 1,
		Favour:   FavourTime,
		Pools: []Pool{
			{Name: "model-servers", Kind: KindModelEngine, ChecksFencing: true, Concurrency: 16, Queue: 128},
			{Name: "billing", Kind: KindPlainService, Concurrency: 32, Queue: 128},
		},
		Models: []Model{{
			Name:     "drafter",
			Version:  "2026-12-01",
			Pool:     "model-servers",
			Manifest: filbertlever.DigestOf([]byte("manifest of drafter")),
			Engine:   Engine{MaxBatch: 16},
		}},
		Services: []Service{{
			Name: "billing",
			Pool: "billing",
			Calls: []Call{
				{Name: "OrderPickup"},
				{Name: "Quote", Repeatable: true},
			},
		}},
		Organisations: []Organisation{{
			Name:          "hauler-1",
			TokenDigests:  []filbertlever.Digest{filbertlever.DigestOf([]byte("token of hauler-1"))},
			Weight:        1,
			MaxConcurrent: 256,
		}},
	}
}
