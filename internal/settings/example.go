package settings

// examples holds one settings file per Use. The tests parse each of them.
var examples = map[Use]string{
	UseEntry: `Host: entry-1
Site: bilbao
Region: basque-country
Peer:
  Address: 127.0.0.11:7400
Callers:
  Address: 127.0.0.11:7443
Admin:
  Address: 127.0.0.11:7490
TLS:
  Authority: keys/authority.pem
  Certificate: keys/entry-1.pem
  Key: keys/entry-1.key
Platform:
  URL: http://127.0.0.2:7300
  Timeout: 2s
  Poll: 500ms
SignOffs: 1
Operators:
  - Name: ana
    PublicKey: AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=
Seeds:
  - Host: entry-2
    PeerAddress: 127.0.0.12:7400
Entry:
  OrderWrites: 300
  Keep: 30s
  Timeout: 1m
Stop:
  Grace: 2s
  Move: 30s
Log:
  Level: Info
  Format: Auto
`,
	UseAgent: `Host: model-1
Site: bilbao
Region: basque-country
Peer:
  Address: 127.0.0.21:7400
Admin:
  Address: 127.0.0.21:7490
TLS:
  Authority: keys/authority.pem
  Certificate: keys/model-1.pem
  Key: keys/model-1.key
Platform:
  URL: http://127.0.0.2:7300
SignOffs: 1
Operators:
  - Name: ana
    PublicKey: AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=
Seeds:
  - Host: entry-1
    PeerAddress: 127.0.0.11:7400
Agent:
  Pool: model-servers
  Engine: http://127.0.0.21:7500
  Weights:
    Address: 127.0.0.21:7410
  Origin: http://127.0.0.2:7300/origin
  Store: http://127.0.0.2:7300/store
  Link: 1250MiB
Log:
  Level: Info
  Format: JSON
`,
	UseOperator: `TLS:
  Authority: keys/authority.pem
  Certificate: keys/ana.pem
  Key: keys/ana.key
Platform:
  URL: http://127.0.0.2:7300
SignOffs: 1
Operators:
  - Name: ana
    PublicKey: AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=
Seeds:
  - Host: entry-1
    PeerAddress: 127.0.0.11:7400
`,
}

// Example returns an example settings file for a use.
func Example(use Use) string { return examples[use] }
