package org.agatefield.configuration;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.FromStringDeserializer;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.Locale;
import org.agatefield.model.Address;
import org.agatefield.model.Priority;
import org.agatefield.model.UpstreamKind;

/** Maps between documents and JSON; shared and safe for use by any thread. */
final class DocumentMapper {
  static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
          .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .defaultPropertyInclusion(
              JsonInclude.Value.construct(
                  JsonInclude.Include.NON_ABSENT, JsonInclude.Include.ALWAYS))
          .addModule(new Jdk8Module())
          .addModule(textFormsModule())
          .build();

  private DocumentMapper() {}

  private static SimpleModule textFormsModule() {
    SimpleModule module = new SimpleModule("plain-forms");
    module.addSerializer(Address.class, new TextSerializer<>(Address.class));
    module.addSerializer(Priority.class, new TextSerializer<>(Priority.class));
    module.addSerializer(UpstreamKind.class, new TextSerializer<>(UpstreamKind.class));
    module.addDeserializer(Address.class, new AddressDeserializer());
    return module;
  }

  /** Writes a value as its text in lower case. */
  private static final class TextSerializer<T> extends StdSerializer<T> {
    private static final long serialVersionUID = 1L;

    TextSerializer(Class<T> type) {
      super(type);
    }

    @Override
    public void serialize(T value, JsonGenerator generator, SerializerProvider provider)
        throws IOException {
      generator.writeString(value.toString().toLowerCase(Locale.ROOT));
    }
  }

  /** Reads an address from {@code IP:port}. */
  private static final class AddressDeserializer extends FromStringDeserializer<Address> {
    private static final long serialVersionUID = 1L;

    AddressDeserializer() {
      super(Address.class);
    }

    @Override
    protected Address _deserialize(String text, DeserializationContext context) {
      return Address.parse(text);
    }
  }
}
