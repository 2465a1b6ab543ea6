package settings

import (
	"fmt"
	"io"
	"reflect"
	"strings"
	"time"

	"github.com/filbertlever/filbertlever/pkg/document"
)

// WriteReference writes the page of all settings in Markdown.
func WriteReference(w io.Writer) {
	fmt.Fprintln(w, "# Settings\n\nWritten by `filbertlever reference settings`; `make docs` refreshes it.")
	fmt.Fprintln(w, "\nDurations read like 250ms, sizes like 64MiB. Unknown fields are faults.")
	fmt.Fprintln(w, "\n| field | type | default |\n| --- | --- | --- |")
	writeFields(w, "", reflect.ValueOf(Defaults()))
	fmt.Fprintln(w, "\n## On the users' platform\n\nFor `filbertlever installation`.\n\n| field | type | default |\n| --- | --- | --- |")
	writeFields(w, "", reflect.ValueOf(DefaultInstallation()))
	for _, use := range []Use{UseEntry, UseAgent, UseOperator} {
		fmt.Fprintf(w, "\n## Example: %s\n\n```yaml\n%s```\n", use, Example(use))
	}
}

func writeFields(w io.Writer, path string, value reflect.Value) {
	for i := range value.NumField() {
		name := strings.TrimPrefix(path+"."+value.Type().Field(i).Name, ".")
		field := value.Field(i)
		switch field.Kind() {
		case reflect.Struct:
			writeFields(w, name, field)
		case reflect.Map:
			fmt.Fprintf(w, "| `%s` | map of %s | |\n", name, typeName(field.Type().Elem()))
		case reflect.Slice:
			if field.Type().Elem().Kind() != reflect.Struct {
				fmt.Fprintf(w, "| `%s[]` | %s | |\n", name, typeName(field.Type().Elem()))
				continue
			}
			writeFields(w, name+"[]", reflect.New(field.Type().Elem()).Elem())
		default:
			fmt.Fprintf(w, "| `%s` | %s | %s |\n", name, typeName(field.Type()), defaultText(field))
		}
	}
}

func typeName(t reflect.Type) string {
	switch t {
	case reflect.TypeFor[document.Duration]():
		return "duration"
	case reflect.TypeFor[document.Size]():
		return "size"
	}
	return t.Kind().String()
}

func defaultText(field reflect.Value) string {
	if field.IsZero() {
		return ""
	}
	if d, ok := field.Interface().(document.Duration); ok {
		return time.Duration(d).String()
	}
	return fmt.Sprint(field.Interface())
}
