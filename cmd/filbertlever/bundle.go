package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strconv"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/filbertlever/filbertlever/internal/operator"
	"github.com/filbertlever/filbertlever/internal/settings"
	"github.com/filbertlever/filbertlever/internal/state"
	"github.com/filbertlever/filbertlever/internal/transport/network"
	"github.com/filbertlever/filbertlever/internal/transport/peer"
	"github.com/filbertlever/filbertlever/internal/transport/platform"
	"github.com/filbertlever/filbertlever/pkg/bundle"
	"github.com/filbertlever/filbertlever/pkg/document"
)

type bundleCommand struct {
	New      bundleNewCommand      `cmd:"" help:"Set the version and parent of a bundle file so that it follows the accepted bundle."`
	Manifest bundleManifestCommand `cmd:"" help:"Create and store the manifest (list of chunks) of a weights file and print its digest."`
	Check    bundleCheckCommand    `cmd:"" help:"Validate a bundle file and report all errors."`
	Diff     bundleDiffCommand     `cmd:"" help:"Show the differences between a bundle file, or the accepted bundle, and another bundle file."`
	Sign     bundleSignCommand     `cmd:"" help:"Add a sign-off to a bundle file."`
	Roll     bundleRollCommand     `cmd:"" help:"Make a signed bundle the accepted one."`
	Status   bundleStatusCommand   `cmd:"" help:"Show the rollout progress of the accepted bundle."`
	History  bundleHistoryCommand  `cmd:"" help:"List the accepted bundles."`
	Schema   bundleSchemaCommand   `cmd:"" help:"Print the JSON schema of bundle files, for editors."`
}

func readBundle(file string) (*bundle.Bundle, []byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	b, err := bundle.Parse(data)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: bundle %s:\n%w", errUsage, file, err)
	}
	return b, data, nil
}

// operator loads an operator's settings and creates a client of the platform.
func (f *settingsFile) operator() (*settings.Settings, *platform.Client, error) {
	s, err := f.load(settings.UseOperator)
	if err != nil {
		return nil, nil, err
	}
	return s, platform.New(s.Platform.URL, time.Duration(s.Platform.Timeout), network.TCP{DialTimeout: peer.DialTimeout}), nil
}

type bundleNewCommand struct {
	settingsFile
	File string `arg:"" help:"Bundle file; created from an example if it does not exist."`
}

// Run sets Version and Parent in the file and leaves the rest unchanged.
func (c *bundleNewCommand) Run(ctx context.Context) error {
	_, client, err := c.operator()
	if err != nil {
		return err
	}
	head, err := operator.ReadHead(ctx, client)
	if err != nil {
		return err
	}
	data, err := os.ReadFile(c.File)
	if errors.Is(err, fs.ErrNotExist) {
		data, err = bundle.Example().Encode()
	}
	if err != nil {
		return err
	}
	data, err = setParent(data, head)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", errUsage, c.File, err)
	}
	if err := os.WriteFile(c.File, data, 0o644); err != nil {
		return err
	}
	fmt.Printf("%s is now bundle %d and follows bundle %d\n", c.File, head.Version+1, head.Version)
	return nil
}

// setParent sets Version and Parent of an encoded bundle so that it follows
// head. It preserves comments and the order of fields.
func setParent(data []byte, head state.Head) ([]byte, error) {
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil || len(root.Content) == 0 {
		return nil, errors.Join(errors.New("not a YAML document"), err)
	}
	setScalar(root.Content[0], "Version", strconv.FormatUint(head.Version+1, 10))
	parent := childNode(root.Content[0], "Parent")
	setScalar(parent, "Version", strconv.FormatUint(head.Version, 10))
	setScalar(parent, "Digest", string(head.Digest))
	var out bytes.Buffer
	encoder := yaml.NewEncoder(&out)
	encoder.SetIndent(2)
	err := encoder.Encode(&root)
	return out.Bytes(), err
}

// childNode returns the value of a key. It adds an empty mapping if the key is
// missing.
func childNode(mapping *yaml.Node, key string) *yaml.Node {
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if mapping.Content[i].Value == key {
			return mapping.Content[i+1]
		}
	}
	value := &yaml.Node{Kind: yaml.MappingNode}
	mapping.Content = append(mapping.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: key}, value)
	return value
}

// setScalar sets a scalar value and keeps its line comment.
func setScalar(mapping *yaml.Node, key, value string) {
	node := childNode(mapping, key)
	*node = yaml.Node{Kind: yaml.ScalarNode, Value: value, LineComment: node.LineComment}
	if value == "" {
		node.Style = yaml.DoubleQuotedStyle
	}
}

type bundleManifestCommand struct {
	settingsFile
	File      string `arg:"" type:"existingfile" help:"Weights file."`
	Path      string `required:"" help:"Path of the weights at the origin."`
	ChunkSize string `default:"16MiB" help:"Size of a chunk."`
}

// Run stores the manifest and prints its digest.
func (c *bundleManifestCommand) Run(ctx context.Context) error {
	_, client, err := c.operator()
	if err != nil {
		return err
	}
	size, err := document.ParseSize(c.ChunkSize)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	file, err := os.Open(c.File)
	if err != nil {
		return err
	}
	defer file.Close()
	manifest, err := bundle.NewManifest(c.Path, file, int64(size))
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	digest, err := operator.StoreManifest(ctx, client, manifest)
	if err != nil {
		return err
	}
	fmt.Println(digest)
	return nil
}

type bundleCheckCommand struct {
	File string `arg:"" help:"Bundle file."`
}

// Run validates the file and reports every fault.
func (c *bundleCheckCommand) Run() error {
	b, data, err := readBundle(c.File)
	if err != nil {
		return err
	}
	signed := bundle.Signed{Body: data}
	fmt.Printf("%s: bundle %d, %d models, %d organisations, %s\n", c.File, b.Version, len(b.Models), len(b.Organisations), signed.Digest())
	return nil
}

type bundleDiffCommand struct {
	output
	Old      string `arg:"" help:"Bundle file, or 'accepted' for the accepted bundle."`
	New      string `arg:"" help:"Bundle file."`
	Settings string `type:"existingfile" env:"FILBERTLEVER_SETTINGS" help:"Settings file, to read the accepted bundle."`
}

// Run lists the changes by field path.
func (c *bundleDiffCommand) Run(ctx context.Context) error {
	old, err := c.readOld(ctx)
	if err != nil {
		return err
	}
	updated, _, err := readBundle(c.New)
	if err != nil {
		return err
	}
	changes := bundle.Diff(old, updated)
	var rows [][]string
	for _, change := range changes {
		rows = append(rows, []string{change.Path, change.Old, change.New})
	}
	return c.print([]string{"PLACE", "OLD", "NEW"}, rows, changes)
}

// readOld returns the bundle to compare with: a file, or the accepted bundle,
// which is empty if none was accepted yet.
func (c *bundleDiffCommand) readOld(ctx context.Context) (*bundle.Bundle, error) {
	if c.Old != "accepted" {
		b, _, err := readBundle(c.Old)
		return b, err
	}
	if c.Settings == "" {
		return nil, fmt.Errorf("%w: 'accepted' needs --settings", errUsage)
	}
	_, client, err := (&settingsFile{Settings: c.Settings}).operator()
	if err != nil {
		return nil, err
	}
	signed, _, err := operator.ReadBundle(ctx, client)
	if err != nil {
		return nil, err
	}
	if signed == nil {
		return &bundle.Bundle{}, nil
	}
	return bundle.Parse(signed.Body)
}

// signedFile returns the path of the file that holds the sign-offs of a bundle
// file.
func signedFile(file string) string { return file + ".signed" }

type bundleSignCommand struct {
	File     string `arg:"" help:"Bundle file."`
	Operator string `required:"" help:"Name of the operator, as in the settings file."`
	Key      string `required:"" type:"existingfile" help:"Signing key of the operator."`
}

// Run adds a sign-off. It drops sign-offs of earlier contents of the file.
func (c *bundleSignCommand) Run() error {
	_, data, err := readBundle(c.File)
	if err != nil {
		return err
	}
	key, err := operator.ReadSigningKey(c.Key)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	signed, err := readSigned(c.File)
	if err != nil || !bytes.Equal(signed.Body, data) {
		signed = &bundle.Signed{Body: data}
	}
	signed.Sign(c.Operator, key)
	encoded, err := signed.Encode()
	if err != nil {
		return err
	}
	if err := os.WriteFile(signedFile(c.File), encoded, 0o644); err != nil {
		return err
	}
	fmt.Printf("%s: %d sign-offs of %s\n", signedFile(c.File), len(signed.Signatures), signed.Digest())
	return nil
}

func readSigned(file string) (*bundle.Signed, error) {
	data, err := os.ReadFile(signedFile(file))
	if err != nil {
		return nil, fmt.Errorf("%w: %s has no sign-offs, sign it first: %w", errUsage, file, err)
	}
	return bundle.DecodeSigned(data)
}

type bundleRollCommand struct {
	settingsFile
	File string `arg:"" help:"Bundle file; its sign-offs are in FILE.signed."`
}

// Run rolls out the bundle. It is idempotent.
func (c *bundleRollCommand) Run(ctx context.Context) error {
	s, client, err := c.operator()
	if err != nil {
		return err
	}
	_, data, err := readBundle(c.File)
	if err != nil {
		return err
	}
	signed, err := readSigned(c.File)
	if err != nil {
		return err
	}
	if !bytes.Equal(signed.Body, data) {
		return fmt.Errorf("%w: %s changed after it was signed", errUsage, c.File)
	}
	head, err := operator.Roll(ctx, client, signed, s.OperatorKeys(), s.SignOffs)
	if err != nil {
		return err
	}
	fmt.Printf("accepted: bundle %d %s\n", head.Version, head.Digest)
	notified, err := operator.Announce(ctx, s, network.TCP{DialTimeout: peer.DialTimeout}, head, signed)
	if err != nil {
		// The bundle is accepted all the same. Entries read it from the platform.
		fmt.Fprintln(os.Stderr, "filbertlever: entries were not notified:", err)
		return nil
	}
	fmt.Printf("notified %d of %d entries\n", notified, len(s.Seeds))
	return nil
}

type bundleStatusCommand struct {
	settingsFile
	output
	Watch   bool          `help:"Show progress until the bundle is live everywhere."`
	Timeout time.Duration `default:"10m" help:"Maximum time to watch."`
}

// watchInterval is the interval between two status queries.
const watchInterval = 200 * time.Millisecond

// Run shows the progress of the accepted bundle.
func (c *bundleStatusCommand) Run(ctx context.Context) error {
	s, _, err := c.operator()
	if err != nil {
		return err
	}
	if c.Watch {
		return c.watch(ctx, s)
	}
	status, err := operator.ReadStatus(ctx, s)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, host := range status.Hosts {
		for _, w := range host.Weights {
			rows = append(rows, []string{string(host.Host.ID), w.Model, w.Version, string(w.Stage), fmt.Sprintf("%d/%d", w.HeldChunks, w.Chunks), strconv.Itoa(w.Failures), w.Reason})
		}
	}
	return c.print([]string{"HOST", "MODEL", "VERSION", "STAGE", "CHUNKS", "FAILURES", "REASON"}, rows, status)
}

func (c *bundleStatusCommand) watch(ctx context.Context, s *settings.Settings) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	var bar progress
	defer bar.end()
	for {
		status, err := operator.ReadStatus(ctx, s)
		if err == nil {
			summary := operator.Summarize(status)
			bar.show(summary.Live, summary.Required, fmt.Sprintf("bundle %d: active on %d/%d hosts, failed loads %d, origin %s, store %s, peers %s",
				summary.Version, summary.Active, summary.Hosts, summary.Failed,
				document.Size(summary.Origin), document.Size(summary.Store), document.Size(summary.Peer)))
			if summary.Done() {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(watchInterval):
		}
	}
}

type bundleHistoryCommand struct {
	settingsFile
	output
}

// Run lists the accepted bundles.
func (c *bundleHistoryCommand) Run(ctx context.Context) error {
	_, client, err := c.operator()
	if err != nil {
		return err
	}
	heads, err := operator.History(ctx, client)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, head := range heads {
		rows = append(rows, []string{strconv.FormatUint(head.Version, 10), string(head.Digest), head.RollID})
	}
	return c.print([]string{"VERSION", "DIGEST", "ROLL"}, rows, heads)
}

type bundleSchemaCommand struct{}

// Run prints the schema.
func (c *bundleSchemaCommand) Run() error {
	schema, err := bundle.Schema()
	if err != nil {
		return err
	}
	fmt.Println(string(schema))
	return nil
}
