package bundle

import (
	"encoding/json"
	"reflect"

	"github.com/filbertlever/filbertlever"
)

// schema is a JSON schema or subschema (draft 2020-12).
type schema struct {
	Schema     string             `json:"$schema,omitempty"`
	Title      string             `json:"title,omitempty"`
	Type       string             `json:"type"`
	Properties map[string]*schema `json:"properties,omitempty"`
	Required   []string           `json:"required,omitempty"`
	// Additional is false for objects, as unknown fields are errors.
	Additional *bool    `json:"additionalProperties,omitempty"`
	Items      *schema  `json:"items,omitempty"`
	Enum       []string `json:"enum,omitempty"`
	Pattern    string   `json:"pattern,omitempty"`
	Minimum    *int     `json:"minimum,omitempty"`
}

// enums lists the allowed values of enumerated string types.
var enums = map[reflect.Type][]string{
	reflect.TypeFor[Favour]():   {string(FavourTime), string(FavourOriginBytes)},
	reflect.TypeFor[PoolKind](): {string(KindModelEngine), string(KindPlainService)},
}

// Schema returns the JSON schema of a bundle file, for use in editors.
func Schema() ([]byte, error) {
	root := schemaOf(reflect.TypeFor[Bundle]())
	root.Schema = "https://json-schema.org/draft/2020-12/schema"
	root.Title = "filbertlever bundle"
	return json.MarshalIndent(root, "", "  ")
}

func schemaOf(t reflect.Type) *schema {
	switch t.Kind() {
	case reflect.Struct:
		return objectSchema(t)
	case reflect.Slice:
		return &schema{Type: "array", Items: schemaOf(t.Elem())}
	case reflect.Bool:
		return &schema{Type: "boolean"}
	case reflect.String:
		return stringSchema(t)
	default:
		zero := 0
		return &schema{Type: "integer", Minimum: &zero}
	}
}

func objectSchema(t reflect.Type) *schema {
	closed := false
	s := &schema{Type: "object", Properties: map[string]*schema{}, Additional: &closed}
	for i := range t.NumField() {
		field := t.Field(i)
		s.Properties[field.Name] = schemaOf(field.Type)
		if field.Name == "Name" || t == reflect.TypeFor[Bundle]() && (field.Name == "Format" || field.Name == "Version") {
			s.Required = append(s.Required, field.Name)
		}
	}
	return s
}

func stringSchema(t reflect.Type) *schema {
	s := &schema{Type: "string", Enum: enums[t]}
	if t == reflect.TypeFor[filbertlever.Digest]() {
		s.Pattern = "^(sha256:[0-9a-f]{64})?$"
	}
	return s
}
